// Package evidence aggregates the answers and ratings of versions and the demand of
// client accounts over the fleet.
//
// Each daemon publishes its own counts within its availability zone; the daemon of
// rank 0 in the zone publishes their sum to the fleet. The counts of one incarnation
// only grow, so that records may arrive out of order or twice. From the sums, every
// daemon derives how many unrated answers of a rolling-in version it may have out,
// whether a version is worse than the one that it replaces, and its part of each
// account's rate limit. A version is stopped by a record of its own, which is
// published to the whole fleet.
package evidence
