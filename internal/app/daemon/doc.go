// Package daemon puts the services of one entry VM together.
//
// The order of registration is the order of reliance: the edge for callers comes
// last, so that on shutdown it stops first and everything it needs outlives it.
package daemon
