// Package distribute brings templates into force on every daemon.
//
// The revisions of a template are ordered by their version number in the store. A few
// watchers in each availability zone watch the store and publish each revision in the
// fleet table, which gossip replicates to every daemon. A daemon puts a revision in force
// only if it is newer than the one in force and the whole template is valid. Each daemon
// acknowledges the revisions it has in force within its availability zone; the daemon
// of rank 0 in the zone publishes a summary to the fleet, so that "template apply" can
// wait for all daemons and name those without the revision.
//
// Watchers in contact with the store refresh a record in the fleet table. A daemon
// that has not received this record for some time is stale: it may have missed a
// withdrawal, so it sends no new work to versions that are rolling in.
package distribute
