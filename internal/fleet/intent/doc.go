// Package intent makes non-idempotent requests run at most once over the fleet.
//
// Before such a request is sent, an intent is created in the store under the
// account and the caller's request ID; only the daemon whose nonce stands there may
// send, and only once. The outcome is written before the answer leaves, so that a
// caller's retry at any daemon gets the recorded answer. An intent that was never
// sent is released, also when the store was down meanwhile. A pending intent of a
// daemon that is gone has an unknown outcome and is never run again.
package intent
