// Package replica shares what some daemons read of the platform's store with the others.
//
// The first daemons of each availability zone watch the store and pass on each object
// as a record of the fleet's table, ordered by the store's revisions; the others make
// no calls. The readers publish a beacon with a digest of all records. A daemon that
// hears no beacon, or whose own digest stays different, reads the store itself until
// that has passed, so that neither a lost reader nor a lost record keeps it behind.
// A daemon that starts while the store is away takes everything from its peers.
package replica
