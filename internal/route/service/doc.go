// Package service routes calls of plain services.
//
// Calls of idempotent services may be retried and hedged: a second attempt goes to
// another server once the first takes much longer than usual. A call of a service that
// is not idempotent is run at most once over all daemons; see package intent.
package service
