// Package trial rolls new versions of services in, or back.
//
// The platform orders that a service's traffic move to servers of a target version
// within a time. In the first half of that time a small, fixed share of the sessions
// that begin after the order uses the target. A hash of the session decides whether it is
// in the share. The daemons tell each other which sessions of the share used the old
// version before, and those stay there until the second half, in which all sessions move.
// Every daemon publishes its counts of good and bad responses, and of the target's fast
// and slow streams, and evaluates the sums of the fleet. A stream is slow if its chunks
// come much slower than those of the old version's fastest streams over the fleet: the
// target's servers have little load in the first half, so its streams should be as fast as
// those. The first daemon to find the target worse publishes that, and all daemons stop
// using the target at once. The live daemon of the lowest rank writes the state of the
// roll-out to the store; the others take over in order of rank if it doesn't.
package trial
