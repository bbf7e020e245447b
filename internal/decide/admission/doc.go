// Package admission decides who waits, who is served next and who is refused when
// backend servers are short.
//
// Requests wait in a [Queue]. Served next is the one of the highest priority and,
// within a priority, of the client account that got least for its weight (start-time
// fair queueing), so that a large account never pushes a small one below its share.
// A request whose deadline the expected wait exceeds is refused at once rather than
// served late. A request that may settle for less leaves first.
package admission
