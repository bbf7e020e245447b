// Package service routes calls of plain services.
//
// Calls of idempotent services may be tried again and hedged: a second call goes to
// another server once the first takes longer than usual. A call of a service that is
// not idempotent is sent at most once over the fleet; see package intent.
package service
