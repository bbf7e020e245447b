package peer

import (
	"maps"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// replacedNodes holds nodes at whose address another daemon answered the handshake, as after a restart of a VM whose
// processes have IDs of their own. Calls to such a node fail without a dial until replacedTimeout has passed.
type replacedNodes map[replacedKey]replacement

// replacedKey names a node at one address; at a new address the node is dialed at once.
type replacedKey struct{ id, address string }

type replacement struct {
	by   string
	seen time.Time
}

// replacedTimeout bounds how long a daemon that has its address back is not dialed there.
const replacedTimeout = 30 * time.Second

func (r replacedNodes) add(n Node, by string, now time.Time) {
	r[replacedKey{n.ID, n.PeerAddress}] = replacement{by, now}
}

// by returns the ID of the daemon that was found at the address of n.
func (r replacedNodes) by(n Node, now time.Time) (string, bool) {
	e, ok := r[replacedKey{n.ID, n.PeerAddress}]
	if !ok || now.Sub(e.seen) >= replacedTimeout {
		return "", false
	}
	return e.by, true
}

func (r replacedNodes) expire(now time.Time) {
	maps.DeleteFunc(r, func(_ replacedKey, e replacement) bool { return now.Sub(e.seen) >= replacedTimeout })
}

func errReplaced(n Node, by string) error {
	return fault.New(fault.Unavailable, "none; the fleet drops the former daemon", "daemon %s no longer listens at %s, daemon %s does", n.ID, n.PeerAddress, by)
}
