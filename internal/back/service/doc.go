// Package service speaks to the plain services beside the model engines.
//
// A call of a service that is not idempotent must never be sent twice, also not by
// the HTTP transport, which resends on its own when a kept connection turns out to
// be closed. Such calls therefore get a connection of their own. A call counts as
// unsent only if no connection was made.
package service
