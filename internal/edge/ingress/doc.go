// Package ingress takes the requests of callers that speak plain HTTP to routes.
//
// A request's host and path select its route and its key the client account. The
// body is read whole before the request is passed to the router. A daemon that is
// leaving goes on answering until its callers have moved away, ends each connection
// after its answer, and refuses only streams that it could not finish any more.
package ingress
