package registry

import (
	"time"

	"github.com/pollencourse/pollencourse/internal/config/mirror"
)

// endedSet holds the servers whose entry was seen draining or gone.
//
// A store that is restored from an older copy may have an entry from before that. The server gets requests again only
// once it has written its entry itself.
type endedSet map[incarnation]ended

// ended is the era of the store in which a server was last seen draining or gone, and when.
type ended struct {
	era int64
	at  time.Time
}

// add records that a server is draining or gone.
func (e endedSet) add(s Server, era int64) {
	inc := incarnation{s.ID, s.Born}
	e[inc] = ended{max(era, e[inc].era), time.Now()}
}

// update records what an entry says, and reports whether the entry is from a restored copy and older than the server's end.
func (e endedSet) update(s Server, c mirror.Change) bool {
	inc := incarnation{s.ID, s.Born}
	known, ok := e[inc]
	switch {
	case s.Draining:
		e.add(s, c.Object.Era)
		return false
	case ok && c.Restored && c.Object.Era > known.era:
		return true
	default:
		delete(e, inc)
		return false
	}
}
