// Package platform is a stand-in for the platform: the object store, the VM list
// and the rating service, with faults to inject.
//
// The demo and the tests use it; the daemon does not link it.
package platform
