// Package relay replicates tables of versioned records between daemons.
//
// A [Table] maps keys to records; of two records with one key the higher version
// wins, so that a table only moves forward and daemons may exchange records in any
// order. The [Gossip] passes changed records on to the neighbours that the
// membership chooses. Heartbeats carry a digest of each table; neighbours whose
// digests differ twice in a row exchange bucket digests and then only the records
// that differ, which closes the gaps that lost messages leave.
//
// The "fleet" table reaches every daemon and holds what changes rarely: templates,
// VMs, daemons, stops and sums over an availability zone. The "zone" table stays
// within an availability zone and holds what each daemon publishes often.
package relay
