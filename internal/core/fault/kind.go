package fault

import "net/http"

// Kind classifies an error by what its reader can do about it.
type Kind string

// The kinds of errors, one for each different remedy. InProgress means that another request with the same
// request ID is still running; OverLimit that the client account exceeds its rate limit; Overloaded that the capacity
// is used up; TooLate that the deadline passed; OutcomeLost that nobody can tell whether a non-idempotent request
// ran; Invalid that settings, a template or a stored object have faults; Superseded that a newer process runs under the
// same daemon ID; Quarantined that requests like this one crashed backend servers.
const (
	BadRequest   Kind = "badRequest"
	TooLarge     Kind = "tooLarge"
	Unauthorized Kind = "unauthorized"
	NotAllowed   Kind = "notAllowed"
	NotFound     Kind = "notFound"
	Conflict     Kind = "conflict"
	InProgress   Kind = "inProgress"
	OverLimit    Kind = "overLimit"
	Overloaded   Kind = "overloaded"
	TooLate      Kind = "tooLate"
	Unavailable  Kind = "unavailable"
	BadGateway   Kind = "badGateway"
	OutcomeLost  Kind = "outcomeLost"
	Invalid      Kind = "invalid"
	Superseded   Kind = "superseded"
	Quarantined  Kind = "quarantined"
	Internal     Kind = "internal"
)

var statusByKind = map[Kind]int{
	BadRequest:   http.StatusBadRequest,
	TooLarge:     http.StatusRequestEntityTooLarge,
	Unauthorized: http.StatusUnauthorized,
	NotAllowed:   http.StatusForbidden,
	NotFound:     http.StatusNotFound,
	Conflict:     http.StatusConflict,
	InProgress:   http.StatusConflict,
	OverLimit:    http.StatusTooManyRequests,
	Overloaded:   http.StatusServiceUnavailable,
	TooLate:      http.StatusGatewayTimeout,
	Unavailable:  http.StatusServiceUnavailable,
	BadGateway:   http.StatusBadGateway,
	OutcomeLost:  http.StatusBadGateway,
	Invalid:      http.StatusUnprocessableEntity,
	Superseded:   http.StatusServiceUnavailable,
	Quarantined:  http.StatusServiceUnavailable,
	Internal:     http.StatusInternalServerError,
}

// Status returns the HTTP status code of the kind, or 500 for a kind without one.
func (k Kind) Status() int {
	if code, ok := statusByKind[k]; ok {
		return code
	}
	return http.StatusInternalServerError
}

// StatusPromisesNotRun reports whether callers take an HTTP status code for a promise that the request did not run.
func StatusPromisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// Outcome says whether a request ran on a backend server.
type Outcome string

// The outcomes of a request. NotRun is a promise to the caller: it is given only if no attempt can have run.
const (
	NotRun  Outcome = "notRun"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)
