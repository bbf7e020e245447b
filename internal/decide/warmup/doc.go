// Package warmup limits the requests that one daemon sends to servers that have started a moment ago.
//
// All daemons together must not exceed what such a server tolerates. Each computes its own share from the daemons that it
// knows, without a message. The package is pure: the time is passed in.
package warmup
