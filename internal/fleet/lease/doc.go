// Package lease grants a duty to at most one daemon at a time, by means of an object in the store.
//
// The holder renews the object by conditional updates. A candidate that sees the
// object unchanged for the lease's full duration, by its own clock, takes it over with
// a higher fencing number; clocks are never compared between machines. The holder
// measures the duration from before it sent its last renewal and stops a safety margin
// before its end, so that a holder that was paused finds its lease expired before it
// acts again.
package lease
