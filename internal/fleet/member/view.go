package member

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

// Key prefixes in the fleet table.
const (
	vmPrefix      = "vm/"
	daemonPrefix  = "daemon/"
	suspectPrefix = "suspect/"
	// replacedPrefix is followed by the ID of a daemon at whose address another one listens now; see [Service.replaceFormer].
	replacedPrefix = "replaced/"
)

// Member is a daemon in this daemon's view of the fleet.
type Member struct {
	peer.Node
	CallerAddress string
	Leaving       bool
	Ready         bool
	Suspected     bool
	// RecordVersion is the version of the daemon's own record in the fleet table.
	RecordVersion int64
}

// view is the membership computed from the fleet table at one point in time.
type view struct {
	// members holds every daemon that is not gone, ordered by the hash of its ID.
	members []Member
	// unjoined holds entry VMs of the platform's list without a daemon record.
	unjoined []vmlist.VM
	// backends holds the backend servers that are not gone, ordered by ID.
	backends []vmlist.VM
	// overlay holds the daemons that this daemon sends to.
	overlay overlay
}

func buildView(t *relay.Table) *view {
	v := &view{}
	vms := map[string]vmlist.VM{}
	for _, r := range t.Prefix(vmPrefix) {
		vm, ok := decodeVM(r)
		if ok {
			vms[vm.ID] = vm
		}
	}
	known := map[string]bool{}
	for _, r := range t.Prefix(daemonPrefix) {
		m, ok := decodeMember(r)
		vm, listed := vms[m.ID]
		if !ok || listed && vm.Gone || isReplaced(t, m.ID, m.PeerAddress) {
			continue
		}
		m.Leaving = m.Leaving || vm.Leaving
		m.Suspected = isSuspected(t, m)
		known[m.ID] = true
		v.members = append(v.members, m)
	}
	for _, vm := range vms {
		if !isReplaced(t, vm.ID, vm.PeerAddress) {
			v.addVM(vm, known)
		}
	}
	slices.SortFunc(v.members, func(a, b Member) int { return compareHash(a.ID, b.ID) })
	slices.SortFunc(v.backends, func(a, b vmlist.VM) int { return strings.Compare(a.ID, b.ID) })
	return v
}

func (v *view) addVM(vm vmlist.VM, known map[string]bool) {
	switch {
	case vm.Gone:
	case vm.Kind != vmlist.Entry:
		v.backends = append(v.backends, vm)
	case !known[vm.ID]:
		v.unjoined = append(v.unjoined, vm)
	}
}

func isSuspected(t *relay.Table, m Member) bool {
	r, ok := t.Get(suspectPrefix + m.ID)
	if !ok {
		return false
	}
	var s peerpb.SuspectRecord
	return proto.Unmarshal(r.Body, &s) == nil && s.GetRecordVersion() >= m.RecordVersion
}

// suspects returns the suspected members other than self.
func (v *view) suspects(self string) []peer.Node {
	var out []peer.Node
	for _, m := range v.members {
		if m.Suspected && m.ID != self {
			out = append(out, m.Node)
		}
	}
	return out
}

// compareHash orders IDs by hash, so that neighbours don't depend on naming schemes.
func compareHash(a, b string) int {
	ha, hb := xxhash.Sum64String(a), xxhash.Sum64String(b)
	switch {
	case ha < hb:
		return -1
	case ha > hb:
		return 1
	default:
		return strings.Compare(a, b)
	}
}

func decodeMember(r relay.Record) (Member, bool) {
	var d peerpb.DaemonRecord
	if proto.Unmarshal(r.Body, &d) != nil {
		return Member{}, false
	}
	return Member{
		Node: peer.Node{
			ID: d.GetDaemonId(), Incarnation: d.GetIncarnation(), Region: d.GetRegion(),
			AvailabilityZone: d.GetAvailabilityZone(), PeerAddress: d.GetPeerAddress(),
		},
		CallerAddress: d.GetCallerAddress(), Leaving: d.GetLeaving(), Ready: d.GetReady(),
		RecordVersion: r.Version,
	}, true
}

func decodeVM(r relay.Record) (vmlist.VM, bool) {
	var p peerpb.VMRecord
	if proto.Unmarshal(r.Body, &p) != nil {
		return vmlist.VM{}, false
	}
	return vmlist.VM{
		ID: p.GetId(), Kind: vmlist.Kind(p.GetKind()), Leaving: p.GetLeaving(), Gone: p.GetGone(),
		Region: p.GetRegion(), AvailabilityZone: p.GetAvailabilityZone(), Address: p.GetAddress(),
		PeerAddress: p.GetPeerAddress(), Serves: p.GetServes(), ChecksFencing: p.GetChecksFencing(),
		Revision: r.Version,
	}, true
}

func recordOfVM(vm vmlist.VM) (relay.Record, error) {
	body, err := proto.Marshal(&peerpb.VMRecord{
		Id: vm.ID, Kind: string(vm.Kind), Leaving: vm.Leaving, Gone: vm.Gone, Region: vm.Region,
		AvailabilityZone: vm.AvailabilityZone, Address: vm.Address, PeerAddress: vm.PeerAddress,
		Serves: vm.Serves, ChecksFencing: vm.ChecksFencing,
	})
	return relay.Record{Key: vmPrefix + vm.ID, Version: vm.Revision, Body: body}, err
}
