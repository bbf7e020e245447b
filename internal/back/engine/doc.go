// Package engine is the client of model engines, which serve OpenAI chat completions over HTTP.
//
// Each attempt carries a unique ID in X-Request-Id, which the engine returns. A response
// with another ID, or a stream whose chunk IDs change, is never used, and its connection is
// closed. The same holds for a response without an ID on a connection that carried an earlier
// request: it may be that request's response once more. A response is complete only if the
// protocol says so: a body that is valid JSON with a finish reason, or a stream with a finish
// reason followed by [DONE]. A response that ends because the connection closes is never
// taken for complete.
package engine
