// Package registry holds the backend servers that have registered themselves.
//
// Servers register under an ID of one incarnation. An entry that disappears while
// the store answers names a server that is gone. One that is missing after the
// store was away may come back within [returnGrace]; until then the server is used.
// Entries that can't be read name no server and do not disturb the others.
package registry
