// Package registry holds the backend servers that have registered in the store of the users' platform.
//
// Each incarnation of a server registers under its own ID. If an entry is deleted while the
// store is available, its server is removed at once. If an entry is missing after a store
// outage, its server stays in use for [mayReturnTimeout], within which the entry may return.
// Malformed entries are ignored and don't affect other servers.
package registry
