// Package charge keeps what requests cost until it is in the store, once each.
//
// Before the last byte of an answer leaves, its charge is held by a second daemon
// in another availability zone. Charges go to the store in batches whose names are
// fixed by the origin's ID, incarnation and a sequence number and which are created
// only if absent. The origin writes its own batches; if it is lost, its stand-by
// writes what it holds under the same names. Whoever finds a name taken reads the
// batch and puts only the charges that it lacks into a new one. Readers merge by
// account and request ID, so that a request that ran twice is billed once.
package charge
