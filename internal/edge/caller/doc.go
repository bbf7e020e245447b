// Package caller serves callers over HTTP: OpenAI chat completions, plain services
// and the list of entry VMs.
//
// It is the edge of daemons run by "pollencourse serve"; package ingress is that of
// daemons on the users' platform.
//
// Callers ask GET /v1/entries which addresses to use and connect to these directly.
// Every error is JSON and says in "outcome" whether the request ran: notRun, ran or
// unknown. On shutdown the daemon first leaves the list, then accepts requests for as
// long as callers may use an earlier list, and then finishes those in flight.
package caller
