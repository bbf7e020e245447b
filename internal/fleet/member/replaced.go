package member

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

// replaceFormer publishes that the daemon or VM of r is replaced if r gives it this daemon's address for peers: only one
// process can listen there, and this one does. Where each process has an ID of its own, nobody else can tell whether a
// daemon that doesn't respond was restarted or is cut off, so it would stay a suspect for ever.
func (s *Service) replaceFormer(r relay.Record) {
	id, address := addressOf(r)
	if id == "" || id == s.self.ID || address == "" || address != s.self.PeerAddress || isReplaced(s.gossip.Fleet(), id, address) {
		return
	}
	_ = s.gossip.PublishOwn(replacedPrefix+id, &peerpb.DaemonRecord{DaemonId: s.self.ID, PeerAddress: address})
}

// contestReplacement withdraws the record that this daemon is replaced, which is out of date if its VM has the address
// again. A daemon that is shutting down leaves the record alone: its successor may listen already.
func (s *Service) contestReplacement() {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if !leaving && isReplaced(s.gossip.Fleet(), s.self.ID, s.self.PeerAddress) {
		_ = s.gossip.PublishOwn(replacedPrefix+s.self.ID, &peerpb.DaemonRecord{DaemonId: s.self.ID, PeerAddress: s.self.PeerAddress})
	}
}

// addressOf returns the ID and the address for peers in the record of a daemon or an entry VM.
func addressOf(r relay.Record) (id, address string) {
	switch {
	case strings.HasPrefix(r.Key, daemonPrefix):
		m, _ := decodeMember(r)
		return m.ID, m.PeerAddress
	case strings.HasPrefix(r.Key, vmPrefix):
		vm, _ := decodeVM(r)
		return vm.ID, vm.PeerAddress
	}
	return "", ""
}

// isReplaced reports whether another daemon listens at the address that a daemon or VM had.
func isReplaced(t *relay.Table, id, address string) bool {
	r, ok := t.Get(replacedPrefix + id)
	if !ok {
		return false
	}
	var by peerpb.DaemonRecord
	return proto.Unmarshal(r.Body, &by) == nil && by.GetDaemonId() != id && by.GetPeerAddress() == address
}
