// Package forward routes opaque requests and streams to backend servers.
//
// The router reads a request's route, never its body. It chooses a model where the
// route leaves the choice to it, a server, and what follows when an attempt does
// not give a whole answer. The promises rest on three rules. A request that may not
// repeat is sent again only if the server itself said that it did not run it, or if
// it never left. An answer with success goes to the caller only whole, under the
// request's own ID and with the server's signature. A stream is passed on in whole
// events, so that another server can go on after the last one.
package forward
