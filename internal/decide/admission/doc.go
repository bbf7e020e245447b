// Package admission decides which request is served next and which are refused while
// backend servers are overloaded.
//
// Requests wait in a [Queue]. Next is the request of the highest priority and, within a
// priority, of the client account that was served least for its weight (start-time fair
// queueing), so that a large account never pushes a small one below its share. A request
// whose expected wait leaves too little time before its deadline is refused at once
// rather than served late. While servers are overloaded, the router moves requests that may
// settle for a lower quality to cheaper versions before it refuses others.
//
// A [Controller] holds a queue for each service whose servers other daemons use too, so that their free capacity is known
// by estimates only. There a refusal requires a rate that was measured while requests waited, requests move up while they
// wait, and responses that come early send waiting requests against the estimates.
package admission
