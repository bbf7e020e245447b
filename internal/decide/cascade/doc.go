// Package cascade chooses which versions answer a request, at the least expected cost
// for which a statistical lower bound of the quality reaches the target.
//
// A [Plan] is either direct (one version) or a cascade: the answer of a cheap first
// version is kept if the engine's own confidence reaches a threshold, and otherwise the
// request is escalated to a second version. The evidence is ratings by confidence bin.
// Two plans can be mixed, so that the target is met but not exceeded. Ratings of first
// answers that were escalated give evidence on cheap versions without showing their
// answers to anyone.
//
// The package is pure: it does no I/O, uses no clock and gets its randomness passed in.
package cascade
