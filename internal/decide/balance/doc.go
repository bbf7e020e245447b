// Package balance chooses the backend server for an attempt.
//
// Each server has a limit on this daemon's attempts in flight that adapts to the
// load which the server shows on its answers: it grows by one a round while nothing
// waits there and shrinks by a tenth when requests wait or are refused; free slots that
// a server shows at the head of an answer raise it at once. Among the
// servers below their limit the choice is the server that the prompt's prefix
// hashes to, if its load is near the mean; otherwise the better of two at random.
// A server that refuses work or fails is set aside for a while that doubles.
package balance
