// Package placement orders engines to load the versions that templates need and to
// drop those that are withdrawn.
//
// One daemon of each region does it, under a lease. Orders are absolute: they name all
// versions an engine shall have. Each carries the lease's fencing number; since some
// engines ignore it, the lease must also be valid for the order's longest flight when
// the order is sent. Only a few engines load at a time, since the weight store is
// rate-limited, and never so many that a serving version loses its last engines.
package placement
