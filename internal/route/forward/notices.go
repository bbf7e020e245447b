package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencourse/pollencourse/internal/back/registry"
	"github.com/pollencourse/pollencourse/internal/core/event"
)

// recordNotices applies what a server says about itself in the header of a response.
func (r *Router) recordNotices(server registry.Server, resp *Response) {
	now := time.Now()
	if resp.Leaving {
		r.servers.MarkLeaving(server)
	}
	if resp.RetryAfter > 0 {
		r.chooser.Pause(r.candidate(server), resp.RetryAfter, now)
		r.log.Emit(event.ServerPaused, "server", server.ID, "service", server.Service, "pauseMs", resp.RetryAfter.Milliseconds())
	}
	for _, name := range resp.Unreadable {
		if r.unreadable.record(server.ID, now) {
			r.log.Emit(event.FieldUnreadable, "server", server.ID, "service", server.Service, "field", name)
		}
	}
}

// unreadableLogInterval is the least time between two log lines about unreadable fields of one server.
const unreadableLogInterval = time.Minute

// unreadableFields counts the header fields that could not be read and limits the log lines about them.
type unreadableFields struct {
	count atomic.Int64

	mu sync.Mutex
	// loggedAt holds when a line was last logged, by server, for servers with a line within unreadableLogInterval.
	loggedAt map[string]time.Time
}

// record counts a field of a server and reports whether to log it.
func (u *unreadableFields) record(server string, now time.Time) bool {
	u.count.Add(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, at := range u.loggedAt {
		if now.Sub(at) >= unreadableLogInterval {
			delete(u.loggedAt, id)
		}
	}
	if _, ok := u.loggedAt[server]; ok {
		return false
	}
	if u.loggedAt == nil {
		u.loggedAt = map[string]time.Time{}
	}
	u.loggedAt[server] = now
	return true
}
