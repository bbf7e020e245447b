// Package daemon builds the daemon of an entry VM that uses the product's own store
// and templates. Package entry builds the daemon for the users' platform.
//
// Each service is registered after the services that it depends on. The server for
// callers comes last, so that at shutdown it stops first, while all that it needs still runs.
package daemon
