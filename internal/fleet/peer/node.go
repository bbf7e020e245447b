package peer

import (
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// Node identifies a process of a daemon and holds its location and the address for peers.
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

func nodeFromHello(h *peerpb.Hello) Node {
	return Node{
		ID: h.GetDaemonId(), Incarnation: h.GetIncarnation(), Region: h.GetRegion(),
		AvailabilityZone: h.GetAvailabilityZone(), PeerAddress: h.GetPeerAddress(),
	}
}
