// Package routing holds the operators' routes, services and client accounts in force.
//
// A [Table] is one whole configuration. Tables are ordered by their revision and
// replaced whole: the [Holder] takes a table only if its revision is higher than
// that of the one in force, so that a daemon never goes back. A request is matched
// by its host and the longest path prefix; the lookup costs one map access for each
// segment of the path, whatever the number of routes.
package routing
