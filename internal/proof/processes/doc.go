// Package processes proves the product's promises with real processes: daemons and
// stand-ins run as separate programs, and the tests freeze, kill and cut them off
// behind fault-injecting proxies. All code is in test files.
package processes
