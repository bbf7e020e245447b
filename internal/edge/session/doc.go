// Package session signs and verifies the tokens by which a session keeps its version.
//
// A token names template, account and version and needs no state on any VM. The
// first key signs and all keys verify, so that keys can be replaced one after another.
package session
