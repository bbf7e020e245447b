// Package ingress serves callers that send plain HTTP requests to configured routes.
//
// It is the edge of daemons on the users' platform; package caller is that of daemons
// run by "pollencourse serve".
//
// The host and the path of a request select its route, its key the client account.
// The complete body is read before the request goes to the router. A daemon that is
// shutting down still serves the callers that have an earlier list of entry addresses,
// closes each connection after its response, and refuses only requests that could not
// end before the process is killed.
package ingress
