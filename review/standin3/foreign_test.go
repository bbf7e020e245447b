package standin3

import (
	"context"
	"time"
)

const (
	// writtenAfter is when, after its entry was removed, an entry is written under the ID of a server that has left; servesOn
	// is how long the server goes on serving.
	writtenAfter = 6 * time.Second
	servesOn     = 14 * time.Second
)

// playForeign writes an entry that lacks a field under the ID of a server that has left and still serves.
func playForeign(ctx context.Context, s *site) (bool, error) {
	r, err := s.startReads(ctx)
	if err != nil {
		return false, err
	}
	defer r.stop()
	pause(ctx, 8*time.Second)
	left := s.backends[0]
	left.silent.Store(true) // it has left: it writes nothing any more
	s.store.remove("servers", left.id)
	gone := time.Now()
	s.printf("the entry of %s is removed; the server serves on for %s", left.id, servesOn)
	pause(ctx, writtenAfter)
	if s.trouble {
		entry := left.entry()
		delete(entry, "coldRemainingMs")
		s.store.put("servers", left.id, entry)
		s.printf("another writer writes an entry under %s without coldRemainingMs", left.id)
	}
	pause(ctx, servesOn-writtenAfter)
	r.stop()
	left.end()
	late := r.late(left.id, gone.Add(drain), func(read) bool { return true })
	s.printf("%d requests reached %s that were sent later than drainMs after its entry was removed", late, left.id)
	return late > 0, nil
}
