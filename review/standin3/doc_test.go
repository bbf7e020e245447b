// Package standin3 plays the cases of the third review.
//
// It starts the daemons of the deploy file as processes of their own on loopback
// addresses, and in its own process the platform's store, backend servers and callers.
package standin3
