// Package chat routes model requests: it chooses the version, sends attempts and
// returns one complete response.
//
// It decides in this order: which versions the policy allows now, whether the session
// keeps its version, which plan of versions reaches the quality target at the least
// cost, and whether a rolling-in version is used instead of the one it replaces. The
// policy is checked again right before each attempt, so that a version withdrawn
// meanwhile gets no new work. A second daemon holds the charge before the last byte
// of the response is sent.
package chat
