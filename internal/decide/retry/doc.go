// Package retry bounds the retries and hedges in proportion to the requests.
//
// Each request earns a fraction of a retry and each retry or hedge spends one, so that
// attempts don't multiply when every server fails. A [Budget] carries a balance; a
// [WindowBudget] keeps to a limit of the whole fleet over a sliding window. The package
// does no I/O and uses no clock.
package retry
