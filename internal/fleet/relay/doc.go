// Package relay replicates tables of versioned records between daemons.
//
// A [Table] maps keys to records; of two records with one key the higher version
// wins, so that a table only moves forward and daemons may exchange records in any
// order. The [Gossip] passes changed records on to the neighbours that the
// membership chooses. Heartbeats carry a digest of each table; neighbours whose
// digests differ twice in a row exchange bucket digests and then only the records
// that differ, which closes the gaps that lost messages leave.
//
// The "fleet" table reaches every daemon. Rare records (templates, VMs, daemons, stops)
// go over all links at once; frequent ones (sums over an availability zone) only over
// the edges of a tree, and the digests make up for an edge that is broken. The "zone"
// table holds what each daemon reports to the first daemons of its availability zone,
// which publish the sums; it is not passed on.
package relay
