package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/decide/place"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

const (
	// serviceReport is the name of the service that aggregators offer.
	serviceReport = "load.report"
	// MinDaemons is the number of live daemons of a zone below which nothing is shared, since each knows enough of the
	// load from its own attempts.
	MinDaemons = 4
	// minInterval and intervalPerDaemon set the time between two reports of a daemon, so that an aggregator gets at most
	// 40 calls a second.
	minInterval       = 500 * time.Millisecond
	intervalPerDaemon = 25 * time.Millisecond
	// reportLifetimeIntervals is the number of intervals for which a report counts.
	reportLifetimeIntervals = 3
	// intervalJitter is the share by which an interval may be longer or shorter, so that daemons do not report in step.
	intervalJitter = 0.1
	// callTimeout bounds a call of an aggregator, so that the second one is asked within the shortest interval.
	callTimeout = 200 * time.Millisecond
)

// Overlay tells which daemons are alive and which of them aggregate reports.
type Overlay interface {
	Aggregators() []peer.Node
	Live() []member.Member
	OnChange(fn func())
}

// Source returns what this daemon has at the servers of its availability zone, by server ID.
type Source func() map[string]place.ServerLoad

// Sink is told what the other daemons have at the servers.
type Sink interface {
	UpdateOthers(loads map[string]place.ServerLoad, age time.Duration, now time.Time)
}

// Service reports this daemon's load and aggregates the reports of others where it is asked to.
type Service struct {
	self    string
	calls   relay.Caller
	overlay Overlay
	source  Source
	sink    Sink
	log     *event.Log
	changed chan struct{}
	reports *reports

	mu    sync.Mutex
	state state
}

// state is what the dump shows of the exchange.
type state struct {
	Active     bool   `json:"active"`
	Sharing    bool   `json:"sharing"`
	IntervalMs int64  `json:"intervalMs"`
	Aggregator string `json:"aggregator"`
	// Daemons and AgeMs describe the last sums, SumsAt is when they came.
	Daemons uint32    `json:"daemons"`
	AgeMs   int64     `json:"ageMs"`
	SumsAt  time.Time `json:"sumsAt"`
	Sent    int64     `json:"sent"`
	Failed  int64     `json:"failed"`
	// SentBytes and ReceivedBytes count reports and sums without the framing of the calls.
	SentBytes     int64 `json:"sentBytes"`
	ReceivedBytes int64 `json:"receivedBytes"`
}

// New returns the Service of the daemon self.
func New(self string, caller relay.Caller, overlay Overlay, source Source, sink Sink, log *event.Log) *Service {
	s := &Service{
		self: self, calls: caller, overlay: overlay, source: source, sink: sink, log: log,
		changed: make(chan struct{}, 1), reports: newReports(),
	}
	caller.Handle(serviceReport, s.handleReport)
	overlay.OnChange(func() {
		select {
		case s.changed <- struct{}{}:
		default:
		}
	})
	return s
}

// Run reports until ctx ends. It sleeps while too few daemons share the zone.
func (s *Service) Run(ctx context.Context) error {
	var next <-chan time.Time
	for {
		interval, active := s.interval()
		s.setActive(interval, active)
		switch {
		case !active:
			next = nil
		case next == nil:
			next = time.After(rand.N(interval)) // daemons that learn of each other at once report at different times
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.changed:
		case <-next:
			s.round(ctx, interval)
			next = time.After(time.Duration(float64(interval) * (1 + intervalJitter*(2*rand.Float64()-1))))
		}
	}
}

// interval returns the time between two reports, and whether enough daemons share the zone.
func (s *Service) interval() (d time.Duration, active bool) {
	zone, n := s.calls.Self().AvailabilityZone, 0
	for _, m := range s.overlay.Live() {
		if m.AvailabilityZone == zone {
			n++
		}
	}
	return max(minInterval, time.Duration(n)*intervalPerDaemon), n >= MinDaemons
}

// setActive records and logs whether this daemon shares its load.
func (s *Service) setActive(interval time.Duration, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.IntervalMs = interval.Milliseconds()
	if s.state.Active == active {
		return
	}
	s.state.Active, s.state.Sharing = active, false
	if active {
		s.log.Emit(event.LoadSharingBegun, "intervalMs", s.state.IntervalMs)
	} else {
		s.log.Emit(event.LoadSharingEnded, "minDaemons", MinDaemons)
	}
}

// round reports to the first aggregator that responds.
func (s *Service) round(ctx context.Context, interval time.Duration) {
	report := toReport(s.self, s.source())
	var lastErr error
	for _, n := range s.overlay.Aggregators() {
		if n.AvailabilityZone != s.calls.Self().AvailabilityZone {
			continue
		}
		begun := time.Now()
		summary, err := s.report(ctx, n, report, interval)
		if err == nil {
			s.apply(n, report, summary, time.Since(begun))
			return
		}
		lastErr = err
	}
	if ctx.Err() == nil {
		s.fail(lastErr)
	}
}

func (s *Service) report(ctx context.Context, to peer.Node, report *peerpb.LoadReport, interval time.Duration) (*peerpb.LoadSummary, error) {
	if to.ID == s.self {
		return s.reports.exchange(s.self, report, interval, time.Now()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var summary peerpb.LoadSummary
	if err := s.calls.Call(ctx, to, serviceReport, report, &summary); err != nil {
		return nil, err
	}
	return &summary, nil
}

// apply passes sums on. Sums over no daemon say nothing; an aggregator that has just started returns them.
func (s *Service) apply(from peer.Node, report *peerpb.LoadReport, summary *peerpb.LoadSummary, took time.Duration) {
	age := time.Duration(summary.GetAgeMs())*time.Millisecond + took
	if summary.GetDaemons() > 0 {
		s.sink.UpdateOthers(toLoads(summary.GetServers()), age, time.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := &s.state
	if !st.Sharing && st.Failed > 0 {
		s.log.Emit(event.LoadSharingResumed, "aggregator", from.ID)
	}
	st.Sharing, st.Aggregator, st.Daemons, st.AgeMs, st.SumsAt = true, from.ID, summary.GetDaemons(), age.Milliseconds(), time.Now()
	st.Sent++
	if from.ID != s.self {
		st.SentBytes += int64(proto.Size(report))
		st.ReceivedBytes += int64(proto.Size(summary))
	}
}

// fail records that no aggregator responded; the sums that the sink has expire by themselves.
func (s *Service) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Failed++
	if s.state.Sharing || s.state.Failed == 1 {
		text := "no aggregator is known"
		if err != nil {
			text = err.Error()
		}
		s.log.Emit(event.LoadSumsMissing, "error", text)
	}
	s.state.Sharing = false
}

// Dump shows whether the load is shared, the last sums and the reports that this daemon holds for others.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		state
		Reports map[string]time.Time `json:"reports"`
		Clamped int64                `json:"clamped"`
	}{s.state, s.reports.times(), s.reports.clamped.Load()}
}
