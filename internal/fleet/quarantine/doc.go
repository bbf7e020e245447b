// Package quarantine keeps requests that crash backend servers away from them.
//
// Each daemon notices when servers end under its attempts and reports the shared prompt parts of those attempts to the other
// daemons, unless it has seen answers to requests with the same parts. Every daemon evaluates all reports; one of them
// publishes each verdict of [poison.Evidence]. From then on no daemon sends a request with that part to a server, apart
// from a single try after [poison.Hold], until an answer clears the part or an operator lifts the quarantine.
//
// The same holds for the content of a request that its caller sends again. The daemon that has itself seen several servers end
// under one keeps it from servers before the fleet has judged.
//
// Reports are frequent records, which a later one repairs. Verdicts are rare ones: they reach every daemon by all
// links, and a daemon that starts or was cut off gets them when it synchronises with a peer.
package quarantine
