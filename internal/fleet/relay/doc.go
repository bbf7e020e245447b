// Package relay replicates tables of versioned records between daemons by gossip.
//
// A [Table] maps keys to records; of two records with the same key the one with the
// higher version wins, so daemons may exchange records in any order and still converge.
// [Gossip] forwards changed records to the neighbours that the membership chooses.
// Heartbeats carry a digest of the fleet table. When a neighbour's digest differs in two
// heartbeats in a row, the two daemons compare digests per bucket and exchange only the
// records that differ, which repairs the loss of messages.
//
// The "fleet" table is replicated to every daemon. Rarely changing records (templates, VMs,
// daemons, stops) are sent at once to all neighbours. Frequently changing ones (sums over an
// availability zone) are sent only along the edges of a tree and are left out of the digests.
// The "zone" table holds what each daemon reports to the aggregators of its availability zone,
// which publish the sums in the fleet table; the zone table itself is not forwarded.
package relay
