// Package booking is a small stand-in for a plain service whose calls may not
// be repeated; it counts each execution by request ID.
package booking
