package poison

import "time"

const (
	// firstHold is how long requests with a part are kept from servers before one of them is tried. It is short because
	// the part may be one that met the guilty one by chance.
	firstHold = 5 * time.Second
	// failedHold is the time after a try that ended a server; it doubles with each further one, up to maxHold.
	failedHold = time.Minute
	maxHold    = time.Hour
)

// Hold returns how long requests with a part are kept from servers after the given number of failed tries. It is longer for
// the content of a request, which keeps nobody else away.
func Hold(part string, tries int) time.Duration {
	switch {
	case tries > 0:
	case IsContent(part):
		return failedHold
	default:
		return firstHold
	}
	d := failedHold
	for range max(0, tries-1) {
		if d *= 2; d >= maxHold {
			return maxHold
		}
	}
	return d
}

// TryDue reports whether one request with a part may be tried at a server. Until the part has failed a try of its own, it is
// not tried together with another quarantined part, which might be the guilty one, unless for failedHold no request had
// it alone.
func TryDue(part string, sinceVerdict time.Duration, tries int, alone bool) bool {
	return sinceVerdict >= Hold(part, tries) && (alone || tries > 0 || sinceVerdict >= failedHold)
}

// Block says why a request isn't sent to servers.
type Block struct {
	Part string
	// Ends is the number of servers that ended under the part.
	Ends int
	// Remaining is the time until a request with the part may be tried again.
	Remaining time.Duration
}

// Attempt is an attempt at a server as the evidence needs it.
type Attempt struct {
	Request string
	// Server and Incarnation identify the server process, Address is where it listens.
	Server      string
	Incarnation int64
	Address     string
	SentAt      time.Time
	// AnswerBegan is when the answer began; zero if it did not.
	AnswerBegan time.Time
	// Parts are the keys of the parts that other requests may share, and that of the request's content.
	Parts []string
}
