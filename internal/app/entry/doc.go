// Package entry builds the daemon of an entry VM on the users' platform.
//
// It registers these services with the kernel: mirrors of the platform's store, the
// membership, the tables shared between daemons, the roll-outs of versions, the router
// and the servers for callers and for the platform. The services for the product's own
// store and templates are not started. docs/PLATFORM.md gives the reasons.
package entry
