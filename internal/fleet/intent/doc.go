// Package intent makes non-idempotent requests run at most once over the fleet.
//
// Before such a request is sent, a daemon creates an intent in the store under the
// account and the caller's request ID. Only the daemon whose nonce is in the stored
// intent may send the request, and only once. The outcome is written before the
// response is sent to the caller, so that the same request sent again to any daemon
// gets the recorded response. The intent of a request that was not sent is released,
// if need be after a store outage. A pending intent of a daemon that is gone has an
// unknown outcome, and its request is never run again.
package intent
