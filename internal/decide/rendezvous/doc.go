// Package rendezvous ranks members for a key by hashes, so that all who know the same
// members choose alike and a change of members moves few keys.
//
// The package is pure.
package rendezvous
