// Package charge buffers the charges of requests and writes each of them to the store once.
//
// Before the last byte of a response is sent, a second daemon (the standby), in another
// availability zone if there is one, holds a copy of its charge. Charges are written to
// the store in batches whose keys consist of the origin's ID, its incarnation and a
// sequence number, and which are created only if absent. The origin writes its own
// batches; if it is lost, its standby writes the charges that it holds under the same
// keys. A daemon that finds a key taken reads the stored batch and puts only the charges
// missing from it into a new batch. Readers merge by account and request ID, so that a
// request that ran twice is billed once.
package charge
