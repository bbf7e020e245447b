// Package stage plays one case of the second independent review. It is built as a test binary, so that the product's files hold
// no names of the users' pages.
//
// It starts daemons with the command of the deploy file, with small stand-ins for the platform's store, the servers and
// the clients in its own process, on loopback addresses. It writes what happened to record.txt and exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package stage
