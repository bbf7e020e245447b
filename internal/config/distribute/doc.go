// Package distribute brings templates into force on every daemon.
//
// The store's version orders the revisions of a template. A few watchers of each
// availability zone watch the store; the replicated fleet table carries revisions
// on to every daemon. A daemon puts a revision in force only if it is newer than
// the one it has and valid as a whole. What a daemon has in force it publishes
// within its availability zone; the first daemon of the zone sums this up for the
// fleet, so that "template apply" can wait for all and name those that lack it.
//
// Watchers in contact with the store refresh a mark in the fleet table. A daemon
// for which the mark is old is stale: it may have missed a withdrawal, so it gives
// no new work to versions that are only rolling in.
package distribute
