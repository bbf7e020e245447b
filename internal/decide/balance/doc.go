// Package balance chooses the backend server for an attempt.
//
// Each server has a limit on this daemon's attempts in flight, adapted to the load that
// the server reports on its responses. Each successful response raises the limit by
// 1/limit if most of it is in use and no request waits at the server, and lowers it by 0.1
// if requests wait. A refused or failed attempt lowers it by a tenth. Free slots that a
// server reports in the headers of a response raise it at once.
//
// Among the servers below their limit, an attempt with a prompt prefix goes to the one
// that the prefix hashes to, if its load is near the mean; any other attempt goes to the
// less loaded of two servers picked at random. A server that refuses work or fails is
// ejected for a time that doubles with each further failure, up to a bound.
package balance
