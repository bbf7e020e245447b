// Package routing holds the routes, services and client accounts in force, as configured by operators.
//
// A [Table] is a complete configuration. The [Holder] replaces the table in force
// only by one with a higher revision, so that a daemon never returns to an older
// configuration. A request is matched by its host and the longest path prefix; a
// lookup costs one map access for each segment of the path, independent of the
// number of routes.
package routing
