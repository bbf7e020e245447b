// Package evidence counts answers and ratings of versions over the fleet, and the
// demand of each client account.
//
// Each daemon publishes its own counts within its availability zone; the first
// daemon of the zone publishes their sum to the fleet. The counts of one incarnation
// only grow, so that records may arrive in any order or twice. From the sums every
// daemon works out the same things: how many unrated answers of a rolling-in version
// it may have out, whether a version is worse than the one it replaces, and its part
// of each account's limit. A stop is a record of its own that floods the fleet.
package evidence
