// Package sizing chooses among models of one answer by size.
//
// Small models are cheap and fast and often good enough; a model says with the head
// of its answer how sure it is. The [Policy] tries the smallest model and goes to
// the largest if the answer is not sure enough.
//
// The package is pure.
package sizing
