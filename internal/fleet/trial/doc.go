// Package trial rolls new versions of services in, or back.
//
// The platform orders that a service's traffic move to servers of a target version
// within a time. In the first half a small, fixed share of the sessions uses the
// target; a session's share of the hash space decides, so that daemons agree without
// talking and a session only ever moves forward. Every daemon publishes its counts
// of good and bad answers; each judges the sums of the fleet. The first to find the
// target worse publishes that, and all stop using it at once. The live daemon of the
// lowest rank writes the outcome to the store, the others stand in for it in turn.
package trial
