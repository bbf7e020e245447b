// Package session signs and verifies the tokens that keep a caller's session on its version.
//
// A token names template, account and version, so that no VM has to store sessions. The
// first key signs and every key verifies, so that keys can be replaced one after another.
package session
