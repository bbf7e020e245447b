// Package engine speaks to model engines: OpenAI chat completions over HTTP.
//
// Each attempt carries an ID of its own in X-Request-Id, which the engine sends
// back; an answer with another ID, or a stream whose chunks change their ID, is
// never used and its connection is closed. An answer is whole only if the protocol
// says so: a finish reason in a complete JSON body, or a finish reason and the end
// mark in a stream. A closed connection alone never ends an answer well.
package engine
