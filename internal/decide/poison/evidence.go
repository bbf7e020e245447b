package poison

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Probation is how long an answer has to go on after its beginning to show that its parts crash no server. A server
	// ends within a fraction of it.
	Probation = 500 * time.Millisecond
	// ClearedFor is how long a part that was cleared is no suspect.
	ClearedFor = 30 * time.Second
	// Window is how long an end counts.
	Window = 2 * time.Minute
	// maxPartBytes is the length above which a part is identified by a hash of its ID.
	maxPartBytes = 64
)

// PartKey returns the key by which a part is known here. It does not share memory with the ID.
func PartKey(id string) string {
	if len(id) <= maxPartBytes && !IsContent(id) {
		return strings.Clone(id)
	}
	return "hash:" + strconv.FormatUint(xxhash.Sum64String(id), 16)
}

// Suspect is a part of an attempt that was in flight when its server ended.
type Suspect struct {
	Part string
	// SentAt is when the attempt was sent.
	SentAt time.Time
	// Answering is true if an answer had begun.
	Answering bool
	// Exposure is the time from the beginning of the answer to the end of the server, or from the sending of the attempt if
	// no answer had begun. The shorter it is, the less likely the server ended just then for another reason.
	Exposure time.Duration
}

// Merge returns the suspect of an end for two attempts with the same part. A server that survived the longer exposure
// would have survived the shorter one.
func (s Suspect) Merge(other Suspect) Suspect {
	sentAt := s.SentAt
	if other.SentAt.After(sentAt) {
		sentAt = other.SentAt
	}
	if other.Answering && !s.Answering || other.Answering == s.Answering && other.Exposure > s.Exposure {
		s = other
	}
	s.SentAt = sentAt
	return s
}

// End is the end of one incarnation of a server, as one daemon saw it.
type End struct {
	// Server identifies the incarnation.
	Server   string
	At       time.Time
	Suspects []Suspect
}

// Evidence holds what is known of ends and of cleared parts. All times are those of one clock.
type Evidence struct {
	// ends holds the ends by the daemon that reported them.
	ends    map[string][]End
	cleared map[string]time.Time
	// forgotten holds, by part, the time up to which ends no longer count for it.
	forgotten map[string]time.Time
}

// NewEvidence returns empty evidence.
func NewEvidence() *Evidence {
	return &Evidence{ends: map[string][]End{}, cleared: map[string]time.Time{}, forgotten: map[string]time.Time{}}
}

// Replace sets the ends that a daemon reports.
func (e *Evidence) Replace(daemon string, ends []End) {
	if len(ends) == 0 {
		delete(e.ends, daemon)
		return
	}
	e.ends[daemon] = ends
}

// Clear records that a part crashed no server at a time.
func (e *Evidence) Clear(part string, at time.Time) {
	if e.cleared[part].Before(at) {
		e.cleared[part] = at
	}
}

// Forget makes the ends up to a time no longer count for a part.
func (e *Evidence) Forget(part string, at time.Time) { e.forgotten[part] = at }

// ClearedAt returns when a part was last cleared; the zero time if it was not.
func (e *Evidence) ClearedAt(part string) time.Time { return e.cleared[part] }

// Empty reports whether no end counts.
func (e *Evidence) Empty() bool { return len(e.ends) == 0 }

// Expire forgets what no longer counts.
func (e *Evidence) Expire(now time.Time) {
	for daemon, ends := range e.ends {
		e.Replace(daemon, slices.DeleteFunc(slices.Clone(ends), func(end End) bool { return now.Sub(end.At) > Window }))
	}
	old := func(_ string, at time.Time) bool { return now.Sub(at) > Window }
	maps.DeleteFunc(e.cleared, old)
	maps.DeleteFunc(e.forgotten, old)
}

// Suspects returns the parts that are a suspect of an end.
func (e *Evidence) Suspects() map[string]bool {
	out := map[string]bool{}
	for _, ends := range e.ends {
		for _, end := range ends {
			for _, s := range end.Suspects {
				out[s.Part] = true
			}
		}
	}
	return out
}

// isCleared reports whether a part is no suspect of an end at a time, as seen now.
func (e *Evidence) isCleared(part string, endAt, now time.Time) bool {
	if at, ok := e.forgotten[part]; ok && !endAt.After(at) {
		return true
	}
	at, ok := e.cleared[part]
	return ok && (!endAt.After(at) || now.Sub(at) < ClearedFor)
}

// serverEnd is the end of one incarnation as all daemons saw it.
type serverEnd struct {
	server string
	at     time.Time
	// suspects holds the merged suspect of each part.
	suspects map[string]Suspect
}

// merged returns the ends over all daemons, the earliest first.
func (e *Evidence) merged(now time.Time) []*serverEnd {
	byServer := map[string][]End{}
	for _, ends := range e.ends {
		for _, end := range ends {
			byServer[end.Server] = append(byServer[end.Server], end)
		}
	}
	out := make([]*serverEnd, 0, len(byServer))
	for server, ends := range byServer {
		merged := &serverEnd{server: server, at: ends[0].At, suspects: map[string]Suspect{}}
		for _, end := range ends {
			if end.At.Before(merged.at) {
				merged.at = end.At
			}
			for _, sus := range end.Suspects {
				if !e.isCleared(sus.Part, end.At, now) {
					merged.suspect(sus)
				}
			}
		}
		out = append(out, merged)
	}
	slices.SortFunc(out, func(a, b *serverEnd) int { return cmp.Or(a.at.Compare(b.at), strings.Compare(a.server, b.server)) })
	return out
}

// suspect adds a suspect of the end.
func (s *serverEnd) suspect(sus Suspect) {
	if known, ok := s.suspects[sus.Part]; ok {
		sus = known.Merge(sus)
	}
	s.suspects[sus.Part] = sus
}
