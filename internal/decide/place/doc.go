// Package place chooses the backend server for an attempt.
//
// Requests that share the beginning of a prompt prefer the same server, found by
// rendezvous hashing, so that daemons agree without talking and its prefix cache is
// used. The preference gives way when the server is fuller than the others. Traffic
// between availability zones and regions is paid for, so servers nearby come first
// until they are clearly fuller. Servers that fail are set aside for a time that
// grows, and compared with their peers by their share of failures.
//
// The package is pure but for its lock: the time is passed in.
package place
