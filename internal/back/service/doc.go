// Package service is the client of plain services, which run beside the model engines.
//
// A call that is not idempotent must never be sent twice, not even by the HTTP transport,
// which resends a request by itself if a reused connection turns out to be closed. And not
// all services return the ID of an attempt, so that on a reused connection an earlier
// response that is written once more can't be told from the next one. Each call therefore
// uses a new connection. A call counts as unsent only if no connection
// was made.
package service
