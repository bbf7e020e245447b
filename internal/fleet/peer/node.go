package peer

import (
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// Node is a daemon as others address it.
type Node struct {
	ID               string
	Incarnation      int64
	Region           string
	AvailabilityZone string
	PeerAddress      string
}

func (n Node) hello(nonce, proof []byte) *peerpb.Hello {
	return &peerpb.Hello{
		DaemonId: n.ID, Incarnation: n.Incarnation, Region: n.Region,
		AvailabilityZone: n.AvailabilityZone, PeerAddress: n.PeerAddress,
		Nonce: nonce, Proof: proof,
	}
}

func nodeOf(h *peerpb.Hello) Node {
	return Node{
		ID: h.GetDaemonId(), Incarnation: h.GetIncarnation(), Region: h.GetRegion(),
		AvailabilityZone: h.GetAvailabilityZone(), PeerAddress: h.GetPeerAddress(),
	}
}
