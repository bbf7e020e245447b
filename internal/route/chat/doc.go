// Package chat routes model requests: it chooses the version, sends attempts and
// returns one whole answer.
//
// The order of decisions is: which versions the policy allows now, what the session
// keeps, which plan of versions reaches the quality target at the least cost, and
// whether a rolling-in version takes the place of the one it replaces. Right before
// each attempt the policy is looked at again, so that a version withdrawn meanwhile
// gets no new work. The charge is held by a second daemon before the last byte of
// the answer leaves.
package chat
