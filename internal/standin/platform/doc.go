// Package platform is a small stand-in for the platform: the object store, the
// VM list and the rating service, with switches for their faults.
//
// It serves the demo and the tests; the daemon never links it in.
package platform
