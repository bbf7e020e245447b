// Package pool reserves slots at backend servers for attempts.
//
// It combines the list of backend servers, the balancer and the queues. A request
// waits in the queue of its workload (a version or a service) until the balancer
// finds a server below its limit. Servers of the daemon's region are preferred.
// Those of other regions are used only if no local one is free, within a limit of
// bytes a second.
package pool
