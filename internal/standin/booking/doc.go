// Package booking is a stand-in for a plain service whose requests are not
// idempotent. It counts the executions of each request ID.
package booking
