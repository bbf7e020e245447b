// Package processes tests the product end to end with real processes. Daemons and the stand-ins
// of outside systems run as separate programs; the tests pause, kill and restart daemons and
// inject network and store faults through proxies. All code is in test files.
package processes
