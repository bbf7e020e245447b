// Package placement orders engines to load the versions that templates need and to
// drop those that are withdrawn.
//
// One daemon in each region sends the orders, under a lease. An order names all versions
// that an engine has to have. It carries the lease's fencing number; since some engines
// ignore that number, the lease must also remain valid for the order timeout when the
// order is sent. Only a few engines load at a time, since the weight store is
// rate-limited, and never so many that a serving version loses its last engines.
package placement
