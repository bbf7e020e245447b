// Package rendezvous scores members for a key by rendezvous hashing: all that know the
// same members choose the same one, and a change of members moves few keys.
//
// The package is pure.
package rendezvous
