package trial

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sessionHash identifies a session of a service to other daemons.
type sessionHash uint64

func hashSession(service, session string) sessionHash {
	return sessionHash(xxhash.Sum64String(service + "\x00" + session))
}

// sessionUse is a session's use of servers through this daemon.
type sessionUse struct {
	id string
	// version is that of the server of the latest attempt.
	version  string
	inFlight int
	lastUsed time.Time
}

// recentSessions holds the sessions that used this daemon at most lifetime ago, by service. A session on which an
// attempt is in flight counts as in use.
type recentSessions struct {
	lifetime  time.Duration
	uses      map[string]map[sessionHash]*sessionUse
	nextPrune time.Time
}

func newRecentSessions(lifetime time.Duration) *recentSessions {
	return &recentSessions{lifetime: lifetime, uses: map[string]map[sessionHash]*sessionUse{}}
}

// begin records the start of an attempt of a session at a server of a version.
func (t *recentSessions) begin(service, session, version string, now time.Time) {
	t.prune(now)
	if t.uses[service] == nil {
		t.uses[service] = map[sessionHash]*sessionUse{}
	}
	h := hashSession(service, session)
	u := t.uses[service][h]
	if u == nil {
		u = &sessionUse{id: session}
		t.uses[service][h] = u
	}
	u.version, u.lastUsed = version, now
	u.inFlight++
}

// end records the end of an attempt that begin recorded.
func (t *recentSessions) end(service, session string, now time.Time) {
	if u := t.uses[service][hashSession(service, session)]; u != nil {
		u.inFlight--
		u.lastUsed = now
	}
}

// prune removes the sessions that are over. It does so once per lifetime, which bounds its cost per attempt.
func (t *recentSessions) prune(now time.Time) {
	if now.Before(t.nextPrune) {
		return
	}
	t.nextPrune = now.Add(t.lifetime)
	for _, uses := range t.uses {
		maps.DeleteFunc(uses, func(_ sessionHash, u *sessionUse) bool { return !t.current(u, now) })
	}
}

func (t *recentSessions) current(u *sessionUse, now time.Time) bool {
	return u.inFlight > 0 || now.Sub(u.lastUsed) <= t.lifetime
}

// usesOther reports whether the latest attempt of a current session used another version than the target.
func (t *recentSessions) usesOther(service, target string, h sessionHash, now time.Time) bool {
	u := t.uses[service][h]
	return u != nil && u.version != target && t.current(u, now)
}

// onOtherVersion returns the current sessions of a service whose latest attempt used another version than the target.
func (t *recentSessions) onOtherVersion(service, target string, now time.Time) map[sessionHash]*sessionUse {
	out := map[sessionHash]*sessionUse{}
	for h, u := range t.uses[service] {
		if t.usesOther(service, target, h, now) {
			out[h] = u
		}
	}
	return out
}

// heldSessions are the sessions that stay on the old version until sessions may move: they used it when the roll-out
// began, or before a server of the target could take them. They are never released before that, so that daemons agree.
type heldSessions struct {
	// own are held by this daemon, which publishes them; others are held by other daemons.
	own    map[sessionHash]bool
	others map[sessionHash]bool
}

func newHeldSessions() heldSessions {
	return heldSessions{own: map[sessionHash]bool{}, others: map[sessionHash]bool{}}
}

func (h heldSessions) contains(s sessionHash) bool { return h.own[s] || h.others[s] }

func (h heldSessions) toProto() []uint64 { return sortedHashes(maps.Keys(h.own)) }

// addOthers adds sessions that another daemon holds.
func (h heldSessions) addOthers(hashes []uint64) {
	for _, s := range hashes {
		h.others[sessionHash(s)] = true
	}
}

// departedSessions holds the sessions of daemons that left, with the times until which they count as current.
type departedSessions map[sessionHash]time.Time

// add records the sessions that a daemon served before it left, and forgets those that are over.
func (d departedSessions) add(hashes []uint64, now time.Time, lifetime time.Duration) {
	maps.DeleteFunc(d, func(_ sessionHash, until time.Time) bool { return until.Before(now) })
	for _, s := range hashes {
		d[sessionHash(s)] = now.Add(lifetime)
	}
}

// current returns the sessions that are not over.
func (d departedSessions) current(now time.Time) []uint64 {
	var out []uint64
	for s, until := range d {
		if !until.Before(now) {
			out = append(out, uint64(s))
		}
	}
	return out
}

func sortedHashes(hashes func(yield func(sessionHash) bool)) []uint64 {
	var out []uint64
	for h := range hashes {
		out = append(out, uint64(h))
	}
	slices.Sort(out)
	return out
}
