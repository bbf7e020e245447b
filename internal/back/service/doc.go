// Package service is the client of plain services, which run beside the model engines.
//
// A call that is not idempotent must never be sent twice, not even by the HTTP transport,
// which resends a request by itself if a reused connection turns out to be closed. Such
// calls therefore use a new connection each. A call counts as unsent only if no connection
// was made.
package service
