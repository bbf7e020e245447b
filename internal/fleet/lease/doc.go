// Package lease lets at most one daemon at a time do a duty, by an object in the store.
//
// The holder renews the object by conditional updates. A candidate that sees the
// object unchanged for the lease's whole duration, by its own clock, takes it with a
// higher fencing number; clocks are never compared between machines. The holder
// counts the lease from before it sent its last renewal and stops a margin earlier,
// so that a holder that was paused finds its lease over before it acts again.
package lease
