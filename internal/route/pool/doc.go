// Package pool gives attempts a place at a backend server.
//
// It joins the list of backend servers, the balancer and the queues. A request
// waits in the queue of what it asks for (a version or a service) until the
// balancer finds a server below its limit. Servers of the own region come first;
// those of other regions are used only when none is free here, within a budget of
// bytes for the link.
package pool
