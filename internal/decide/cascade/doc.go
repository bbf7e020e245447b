// Package cascade chooses which versions answer a request, at the least expected
// cost whose quality holds by a lower confidence bound.
//
// A [Plan] is either direct (one version) or a cascade: a cheap first try whose
// answer is kept if the engine's own confidence reaches a threshold, and a second
// version otherwise. The evidence is ratings by confidence bin. Plans can be mixed,
// so that the target is met and not exceeded. Ratings of first tries that were
// escalated teach about cheap versions without showing their answers to anyone.
//
// The package is pure: no I/O, no clock, and all randomness is passed in.
package cascade
