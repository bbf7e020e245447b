// Package load shares the load of the backend servers among the daemons of an availability zone.
//
// Each daemon reports what it has at the servers of its zone to one aggregator of the zone
// and receives the sums of what the other daemons reported last. A daemon's choice of servers
// uses the sums beside its own attempts. Nothing is sent to other zones, and nothing at all
// while fewer than [MinDaemons] live daemons share the zone.
package load
