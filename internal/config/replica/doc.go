// Package replica shares the objects of the platform's store that some daemons read with all others.
//
// The daemons of the lowest ranks in each availability zone are the readers: they watch
// the store and publish each object as a record of the fleet's gossip table, ordered by
// the store's revisions. The other daemons make no calls to the store. Readers publish a
// periodic beacon with a digest of all records and the time since the store last
// answered them. A daemon that knows of no recent answer, or whose own digest stays
// different, reads the store itself until that is no longer so; neither readers that
// failed or lost the store nor a lost record leave it behind. A daemon that starts while
// the store is unavailable receives everything from its peers.
package replica
