// Package place chooses the backend server for an attempt.
//
// The choice is the server with the least expected time to the first piece of the
// answer. That time is the work that waits there and the attempt's own, less the
// parts of the prompt that the server has probably cached. Work is estimated from
// tokens with a rate for each model that is learned from answers, and each server's
// own speed is learned beside it. Requests that share the beginning of a prompt
// prefer the same server, found by rendezvous hashing, so that daemons agree without
// talking. Traffic between availability zones and regions is paid for and counts as
// additional time. Servers that fail are set aside for a time that grows.
//
// The package is pure but for its lock: the time is passed in.
package place
