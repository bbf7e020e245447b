// Package sizing chooses between the models that can answer a request, by their size.
//
// Small models are cheap and fast and often good enough; a model reports its confidence
// in the headers of its response. The [Policy] tries the smallest model and escalates to
// the largest one if the confidence is too low. A request that may run only once can't be
// escalated; it gets the largest model while the servers have room for it.
//
// The package is pure.
package sizing
