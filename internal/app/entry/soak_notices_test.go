package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// leavingBound is the time after which a daemon may no longer send requests to a server that said that it is
	// leaving; it is the platform's parameter drainMs.
	leavingBound = 3 * time.Second
	// pauseMargin is how long after a refusal requests that were already on their way may still arrive, and
	// maxRequestsInPause how many more may.
	pauseMargin        = 500 * time.Millisecond
	maxRequestsInPause = 2
	// soakDaemonHeader and soakSentHeader tell the servers which daemon a client chose and when it sent the request, in
	// Unix nanoseconds.
	soakDaemonHeader = "Soak-Daemon"
	soakSentHeader   = "Soak-Sent"
)

// toldPause is a pause that a server asked of one daemon.
type toldPause struct {
	from, until time.Time
	requests    int
}

// serverNotices is what one server of a soak says about itself and to which daemons it has said so. It checks that the
// daemons act on it; a restart or a pause of a daemon excuses it.
type serverNotices struct {
	soak   *soak
	server *serverStandin

	mu           sync.Mutex
	leaving      bool
	refusesUntil time.Time
	toldLeaving  map[string]time.Time
	pauses       map[string]*toldPause
}

func (n *serverNotices) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

func (n *serverNotices) refuseFor(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusesUntil = time.Now().Add(d)
}

// answer returns the header field to send to the daemon of a request, and whether the server refuses the request.
func (n *serverNotices) answer(r *http.Request) (field string, refused bool) {
	daemon := r.Header.Get(soakDaemonHeader)
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving {
		if n.toldLeaving[daemon].IsZero() {
			n.toldLeaving[daemon] = now
		}
		return "Server-Leaving: 1", false
	}
	if left := n.refusesUntil.Sub(now); left > 0 {
		n.pauses[daemon] = &toldPause{from: now, until: now.Add(left)}
		n.server.uncount(r.Header.Get("X-Request-Id"))
		return fmt.Sprintf("Retry-After: %.3f", left.Seconds()), true
	}
	return "Soak: none", false
}

// check reports a request that its daemon should not have sent here.
func (n *serverNotices) check(r *http.Request) {
	daemon, id := r.Header.Get(soakDaemonHeader), r.Header.Get("X-Request-Id")
	nanos, _ := strconv.ParseInt(r.Header.Get(soakSentHeader), 10, 64)
	sentAt, now := time.Unix(0, nanos), time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if at := n.toldLeaving[daemon]; !at.IsZero() && sentAt.Sub(at) > leavingBound && !n.soak.disturbedSince(daemon, at) {
		n.soak.reportViolation("request %s reached server %s %v after the server told %s that it is leaving", id, n.server.id, sentAt.Sub(at), daemon)
	}
	p := n.pauses[daemon]
	if p == nil || now.Before(p.from.Add(pauseMargin)) || now.After(p.until) || n.soak.disturbedSince(daemon, p.from) {
		return
	}
	if p.requests++; p.requests > maxRequestsInPause {
		n.soak.reportViolation("request %s reached server %s during the pause that it asked of %s", id, n.server.id, daemon)
	}
}
