// Package world starts the stand-ins of a layout: the platform, model engines and
// booking servers, each on a loopback port of its own.
package world
