package decisions

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/back/engine"
	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/decide/balance"
	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

// simulatedVersion holds the true properties of a version, which the daemon can only estimate.
type simulatedVersion struct {
	id      string
	quality float64
	// answerCost is in micro-units.
	answerCost  float64
	serviceTime time.Duration
}

// answerTokens is the number of completion tokens of every answer.
const answerTokens = 100

// unitHash maps a text to [0, 1), always to the same number.
func unitHash(text string) float64 { return float64(xxhash.Sum64String(text)>>11) / float64(1<<53) }

// answersWell decides whether a version of some quality answers a prompt well. Each prompt has a fixed
// difficulty, so a version answers well all prompts that a version of lower quality answers well.
func answersWell(prompt string, quality float64) bool {
	return unitHash("difficulty "+prompt) < quality
}

// reportedConfidence is the confidence that the engine reports with an answer: higher for good
// answers, with noise that makes both kinds overlap.
func reportedConfidence(prompt, version string, isGood bool) float64 {
	base := 0.40
	if isGood {
		base = 0.68
	}
	return math.Min(0.99, math.Max(0.01, base+(unitHash("noise "+version+prompt)-0.5)*0.6))
}

// simulatedServer is an engine with a bounded number of slots. Requests beyond that wait.
type simulatedServer struct {
	id    string
	slots int

	mu        sync.Mutex
	running   int
	waiting   int
	occupied  chan struct{}
	down      bool
	runsEnded int
}

func newServer(id string, slots int) *simulatedServer {
	s := &simulatedServer{id: id, slots: slots, occupied: make(chan struct{}, slots)}
	return s
}

// load returns the load at this moment.
func (s *simulatedServer) load() balance.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return balance.LoadReport{Running: s.running, Waiting: s.waiting, Slots: s.slots, At: time.Now()}
}

// serve waits for a slot and occupies it for the given time. It returns false if the server is down
// or ctx is done first.
func (s *simulatedServer) serve(ctx context.Context, duration time.Duration, onLoad func(balance.LoadReport)) bool {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	gotSlot := false
	select {
	case s.occupied <- struct{}{}:
		gotSlot = true
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.waiting--
	if gotSlot {
		s.running++
	}
	s.mu.Unlock()
	if !gotSlot {
		return false
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.runsEnded++
		s.mu.Unlock()
		<-s.occupied
	}()
	if onLoad != nil {
		onLoad(s.load())
	}
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// world holds the versions and servers of one scenario. It stands in for the engine client and for
// the VM list.
type world struct {
	mu            sync.Mutex
	versions      map[string]simulatedVersion
	servers       map[string]*simulatedServer
	vms           []vmlist.VM
	rng           *rand.Rand
	latencySpread float64
	listeners     []func()
}

func newWorld(seed uint64, versions ...simulatedVersion) *world {
	w := &world{versions: map[string]simulatedVersion{}, servers: map[string]*simulatedServer{}, rng: rand.New(rand.NewPCG(seed, 1))}
	for _, v := range versions {
		w.versions[v.id] = v
	}
	return w
}

// addServers adds n servers that serve the versions.
func (w *world) addServers(n, slots int, zone string, versions ...string) {
	for range n {
		id := fmt.Sprintf("engine-%d", len(w.servers)+1)
		w.servers[id] = newServer(id, slots)
		w.vms = append(w.vms, vmlist.VM{ID: id, Kind: vmlist.Engine, Region: "pwani", AvailabilityZone: zone, Address: id, Serves: versions})
	}
}

func (w *world) Backends() []vmlist.VM { return w.vms }

func (w *world) OnChange(fn func()) { w.listeners = append(w.listeners, fn) }

// lookUp returns a version and a random factor for its service time, with mean 1. Each call draws
// from the scenario's random numbers, also where the factor isn't used.
func (w *world) lookUp(version string) (simulatedVersion, float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.versions[version], 1 + w.latencySpread*(w.rng.ExpFloat64()-1)
}

// Complete runs a request on the simulated server at the address. The request ID serves as the prompt.
func (w *world) Complete(ctx context.Context, call engine.Call) (*engine.CompleteResponse, *engine.Failure) {
	version := requestedVersion(call.Body)
	v, factor := w.lookUp(version)
	s := w.servers[call.Address]
	if !s.serve(ctx, time.Duration(float64(v.serviceTime)*factor), call.OnLoad) {
		failure := &engine.Failure{Progress: engine.PossiblyDelivered, Reason: engine.Incomplete}
		if ctx.Err() != nil {
			failure.Reason = engine.Cancelled
		}
		return &engine.CompleteResponse{Load: s.load()}, failure
	}
	isGood := answersWell(call.RequestID, v.quality)
	return &engine.CompleteResponse{
		Body: []byte("{}"), Text: answerText(isGood), Usage: engine.Usage{Completion: answerTokens},
		Confidence: reportedConfidence(call.RequestID, version, isGood), Load: s.load(),
	}, nil
}

// Stream fails; no scenario streams.
func (w *world) Stream(context.Context, engine.Call, engine.Sink) (*engine.StreamResult, *engine.Failure) {
	return &engine.StreamResult{}, &engine.Failure{Reason: engine.BadStatus, Status: http.StatusNotImplemented}
}

func answerText(isGood bool) string {
	if isGood {
		return "good"
	}
	return "poor"
}

// rater stands in for the rating service: it rates by the text of the answer, after a delay.
type rater struct {
	delay  time.Duration
	isDown func() bool
}

func (r rater) Rate(ctx context.Context, _, answer string) (bool, error) {
	if r.isDown != nil && r.isDown() {
		return false, fmt.Errorf("rating service is down")
	}
	select {
	case <-time.After(r.delay):
		return answer == "good", nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// chargeTotals stands in for the ledger: it sums the charges and keeps none.
type chargeTotals struct {
	mu         sync.Mutex
	microUnits float64
	count      int
}

func (c *chargeTotals) Add(charge *peerpb.Charge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.microUnits += float64(charge.GetMicroUnits())
	c.count++
}

func (c *chargeTotals) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.microUnits, c.count = 0, 0
}

// policies stands in for the configuration in force: one policy of one account.
type policies struct {
	mu     sync.Mutex
	policy *template.Policy
}

func (p *policies) Policy(string, string) (*template.Policy, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.policy, true
}

func (p *policies) Templates() []*template.Template {
	p.mu.Lock()
	defer p.mu.Unlock()
	return []*template.Template{{Name: p.policy.Template, Accounts: map[string]*template.Policy{p.policy.Account: p.policy}}}
}

// fleet stands in for membership and replication: all daemons share the fleet-wide and the zone's
// table, so that records arrive without delay.
type fleet struct {
	tables  [2]*relay.Table
	members []member.Member
}

func newFleet(daemons int) *fleet {
	f := &fleet{tables: [2]*relay.Table{relay.NewTable("fleet"), relay.NewTable("zone")}}
	for i := range daemons {
		f.members = append(f.members, member.Member{Node: peer.Node{ID: fmt.Sprintf("entry-%d", i), Incarnation: 1, Region: "pwani", AvailabilityZone: "pwani-a"}, Ready: true})
	}
	return f
}

// daemonView is the view that the daemon with this rank has of the fleet.
type daemonView struct {
	*fleet
	rank int
}

func (v daemonView) Fleet() *relay.Table      { return v.tables[0] }
func (v daemonView) Zone() *relay.Table       { return v.tables[1] }
func (v daemonView) MarkFrequent(string)      {}
func (v daemonView) Live() []member.Member    { return v.members }
func (v daemonView) Members() []member.Member { return v.members }
func (v daemonView) Rank() int                { return v.rank }

func (v daemonView) PublishOwn(key string, m proto.Message) error { return v.put(v.tables[0], key, m) }

func (v daemonView) Report(key string, m proto.Message) error { return v.put(v.tables[1], key, m) }

func (v daemonView) put(t *relay.Table, key string, m proto.Message) error {
	body, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	old, _ := t.Get(key)
	t.Apply(relay.Record{Key: key, Version: old.Version + 1, Body: body})
	return nil
}
