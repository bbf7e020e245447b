// Package world starts a whole set of stand-ins from one layout: the platform,
// model engines and booking servers, each on a loopback port of its own.
package world
