package load

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/place"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

const (
	// maxInFlight and maxWaitingMs bound what one daemon may report of one server; larger numbers are wrong.
	maxInFlight  = 1000
	maxWaitingMs = 60_000
	// maxServers bounds the servers of one report.
	maxServers = 1024
)

// reports holds the newest report of each daemon that reports to this one.
type reports struct {
	clamped atomic.Int64

	mu       sync.Mutex
	byDaemon map[string]report
	// totals holds the sums of byDaemon by server ID. They are kept up with each report, since adding up the reports of
	// 38 daemons with 160 servers for each response took 2.4% of a core.
	totals map[string]*total
}

// total is the sum of the reports of one server.
type total struct {
	daemons             int
	inFlight, waitingMs uint32
}

// report is the load that one daemon reported.
type report struct {
	at      time.Time
	servers []*peerpb.ServerLoad
}

func newReports() *reports {
	return &reports{byDaemon: map[string]report{}, totals: map[string]*total{}}
}

// handleReport answers a daemon of this zone with the sums of the others. The daemon is the one that the connection
// belongs to, whatever the report says.
func (s *Service) handleReport(_ context.Context, from peer.Node, body []byte) (proto.Message, error) {
	if from.AvailabilityZone != s.calls.Self().AvailabilityZone {
		return nil, fault.New(fault.Invalid, "run the same version on every daemon", "daemon %s reports load to another availability zone", from.ID)
	}
	var r peerpb.LoadReport
	if err := proto.Unmarshal(body, &r); err != nil {
		s.log.Emit(event.PeerMessageWrong, "peer", from.ID, "error", err.Error())
		return nil, fault.New(fault.Invalid, "run the same version on every daemon", "a report of load can't be read").WithCause(err)
	}
	interval, _ := s.interval()
	before := s.reports.clamped.Load()
	summary := s.reports.exchange(from.ID, &r, interval, time.Now())
	if s.reports.clamped.Load() > before {
		s.log.Emit(event.LoadReportClamped, "peer", from.ID)
	}
	return summary, nil
}

// exchange replaces a daemon's report and returns the sums of the other daemons' reports. It drops reports that are
// older than reportLifetimeIntervals.
func (r *reports) exchange(daemon string, m *peerpb.LoadReport, interval time.Duration, now time.Time) *peerpb.LoadSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(daemon)
	out := &peerpb.LoadSummary{}
	var age time.Duration
	for id, other := range r.byDaemon {
		if now.Sub(other.at) > reportLifetimeIntervals*interval {
			r.remove(id)
			continue
		}
		out.Daemons++
		age += now.Sub(other.at)
	}
	if out.GetDaemons() > 0 {
		out.AgeMs = uint32((age / time.Duration(out.GetDaemons())).Milliseconds())
	}
	for id, sum := range r.totals {
		out.Servers = append(out.Servers, &peerpb.ServerLoad{ServerId: id, InFlight: sum.inFlight, WaitingMs: sum.waitingMs})
	}
	r.add(daemon, report{now, r.clamp(m.GetServers())})
	return out
}

// add adds a daemon's report to the totals; r.mu is held.
func (r *reports) add(daemon string, added report) {
	r.byDaemon[daemon] = added
	for _, l := range added.servers {
		sum := r.totals[l.GetServerId()]
		if sum == nil {
			sum = &total{}
			r.totals[l.GetServerId()] = sum
		}
		sum.daemons++
		sum.inFlight += l.GetInFlight()
		sum.waitingMs += l.GetWaitingMs()
	}
}

// remove takes a daemon's report, if there is one, out of the totals; r.mu is held.
func (r *reports) remove(daemon string) {
	for _, l := range r.byDaemon[daemon].servers {
		sum := r.totals[l.GetServerId()]
		sum.daemons--
		sum.inFlight -= l.GetInFlight()
		sum.waitingMs -= l.GetWaitingMs()
		if sum.daemons == 0 {
			delete(r.totals, l.GetServerId())
		}
	}
	delete(r.byDaemon, daemon)
}

// clamp bounds the numbers of a report.
func (r *reports) clamp(servers []*peerpb.ServerLoad) []*peerpb.ServerLoad {
	wrong := len(servers) > maxServers
	servers = servers[:min(len(servers), maxServers)]
	for _, l := range servers {
		wrong = wrong || l.GetInFlight() > maxInFlight || l.GetWaitingMs() > maxWaitingMs
		l.InFlight = min(l.GetInFlight(), maxInFlight)
		l.WaitingMs = min(l.GetWaitingMs(), maxWaitingMs)
	}
	if wrong {
		r.clamped.Add(1)
	}
	return servers
}

// times returns when each daemon last reported.
func (r *reports) times() map[string]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]time.Time{}
	for id, other := range r.byDaemon {
		out[id] = other.at
	}
	return out
}

// toReport encodes loads. Negative numbers, which can't be sent, count as 0, and too large ones as the largest.
func toReport(daemon string, loads map[string]place.ServerLoad) *peerpb.LoadReport {
	m := &peerpb.LoadReport{DaemonId: daemon}
	for id, l := range loads {
		m.Servers = append(m.Servers, &peerpb.ServerLoad{
			ServerId: id, InFlight: toUint32(int64(l.InFlight)), WaitingMs: toUint32(l.Waiting.Milliseconds()),
		})
	}
	return m
}

func toUint32(n int64) uint32 { return uint32(min(max(0, n), math.MaxUint32)) }

func toLoads(servers []*peerpb.ServerLoad) map[string]place.ServerLoad {
	loads := make(map[string]place.ServerLoad, len(servers))
	for _, l := range servers {
		loads[l.GetServerId()] = place.ServerLoad{InFlight: int(l.GetInFlight()), Waiting: time.Duration(l.GetWaitingMs()) * time.Millisecond}
	}
	return loads
}
