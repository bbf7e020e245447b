// Package decisions measures the decisions in virtual time: the router, the pool and
// the evidence of the daemon run as they are, over seeded fakes of engines and ratings.
// Baselines exist here only. All code is in test files.
package decisions
