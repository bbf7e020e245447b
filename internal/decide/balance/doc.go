// Package balance chooses the backend server for an attempt.
//
// Each server has a limit on this daemon's attempts in flight, adapted to the load that
// the server reports on its responses. The limit grows by one for each limit's worth of
// responses while no request waits at the server, and shrinks by a tenth for as many
// responses while requests wait, or at once when an attempt is refused or fails. Free
// slots that a server reports at the head of a response raise the limit at once.
//
// Among the servers below their limit, an attempt with a prompt prefix goes to the one
// that the prefix hashes to, if its load is near the mean; any other attempt goes to the
// less loaded of two servers picked at random. A server that refuses work or fails is
// ejected for a time that doubles with each further failure, up to a bound.
package balance
