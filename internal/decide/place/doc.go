// Package place chooses the backend server for an attempt.
//
// It picks the server with the least expected time to the first chunk of the response.
// That time covers the work queued at the server and the attempt's own work, less the
// prompt parts that the server has probably cached. Work is estimated from tokens and
// a time per token that is learned from responses for each class of attempts; the speed
// of each server is learned separately. Requests that share the beginning of a prompt
// prefer the same server, found by rendezvous hashing, so that daemons agree without
// exchanging messages. Traffic between availability zones and regions costs money and
// counts as additional time. Servers that refuse work or whose connections fail are
// ejected, after repeated connection failures for longer each time.
//
// The package does no I/O, and the current time is passed in. A [Chooser] is safe for
// concurrent use.
package place
