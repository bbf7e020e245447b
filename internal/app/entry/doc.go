// Package entry builds the daemon of an entry VM on the users' platform.
//
// It registers the services that run there with the kernel: mirrors of the store,
// the membership and the tables between daemons, the trials of versions, the router
// and the servers that face callers and the platform. Services of the product's own
// store and templates are not started and cost nothing. docs/PLATFORM.md tells why.
package entry
