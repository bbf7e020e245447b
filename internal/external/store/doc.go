// Package store is the client of the object store that daemons run by "pollencourse serve" use.
//
// Package platform has the client for the store of the users' platform.
//
// An object has a key, a body of at most [MaxObjectBytes] and a version. Every write in the
// store gets a higher version, so the versions of any two objects can be ordered. Writes
// are conditional. The response to a write can be lost after the write took effect; the
// error is then [ErrAmbiguous], and whoever wrote reads the object back and compares the
// nonce in it with the one written. Calls and open watches count against the platform's
// limits, so the client limits the rate of its calls and Dump shows their numbers.
package store
