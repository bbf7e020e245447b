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

// model is the truth about one version.
type model struct {
	id      string
	quality float64
	// price is the cost of one answer, in micro-units.
	price float64
	took  time.Duration
}

// answerTokens is the length of every answer.
const answerTokens = 100

// unit maps a text to [0, 1).
func unit(text string) float64 { return float64(xxhash.Sum64String(text)>>11) / float64(1<<53) }

// good is the truth: a better version is good at all that a worse one is good at, mostly.
func good(prompt string, quality float64) bool { return unit("difficulty "+prompt) < quality }

// confidenceOf is what the engine reports of its answer, with noise.
func confidenceOf(prompt, version string, isGood bool) float64 {
	base := 0.40
	if isGood {
		base = 0.68
	}
	return math.Min(0.99, math.Max(0.01, base+(unit("noise "+version+prompt)-0.5)*0.6))
}

// server is a fake engine that runs a bounded number of requests at a time.
type server struct {
	id    string
	slots int

	mu      sync.Mutex
	running int
	waiting int
	free    chan struct{}
	down    bool
	runs    int
}

func newServer(id string, slots int) *server {
	s := &server{id: id, slots: slots, free: make(chan struct{}, slots)}
	return s
}

// load is what the server reports, by a reading that is lag old.
func (s *server) load() balance.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return balance.Report{Running: s.running, Waiting: s.waiting, Slots: s.slots, At: time.Now()}
}

func (s *server) serve(ctx context.Context, took time.Duration, onLoad func(balance.Report)) bool {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	entered := false
	select {
	case s.free <- struct{}{}:
		entered = true
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.waiting--
	if entered {
		s.running++
	}
	s.mu.Unlock()
	if !entered {
		return false
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.runs++
		s.mu.Unlock()
		<-s.free
	}()
	if onLoad != nil {
		onLoad(s.load())
	}
	select {
	case <-time.After(took):
		return true
	case <-ctx.Done():
		return false
	}
}

// world is the fakes of one scenario; it is an engine client for the router.
type world struct {
	mu      sync.Mutex
	models  map[string]model
	servers map[string]*server
	vms     []vmlist.VM
	rng     *rand.Rand
	spread  float64
	changed []func()
}

func newWorld(seed uint64, models ...model) *world {
	w := &world{models: map[string]model{}, servers: map[string]*server{}, rng: rand.New(rand.NewPCG(seed, 1))}
	for _, m := range models {
		w.models[m.id] = m
	}
	return w
}

// add starts n servers that serve versions.
func (w *world) add(n, slots int, zone string, versions ...string) {
	for range n {
		id := fmt.Sprintf("engine-%d", len(w.servers)+1)
		w.servers[id] = newServer(id, slots)
		w.vms = append(w.vms, vmlist.VM{ID: id, Kind: vmlist.Engine, Region: "pwani", AvailabilityZone: zone, Address: id, Serves: versions})
	}
}

func (w *world) Backends() []vmlist.VM { return w.vms }

func (w *world) OnChange(fn func()) { w.changed = append(w.changed, fn) }

func (w *world) model(version string) (model, float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.models[version], 1 + w.spread*(w.rng.ExpFloat64()-1)
}

// Complete runs a request on a fake engine; the prompt travels as the request ID.
func (w *world) Complete(ctx context.Context, call engine.Call) (*engine.CompleteResponse, *engine.Failure) {
	version := versionOf(call.Body)
	m, factor := w.model(version)
	s := w.servers[call.Address]
	if !s.serve(ctx, time.Duration(float64(m.took)*factor), call.OnLoad) {
		f := &engine.Failure{Progress: engine.PossiblyDelivered, Reason: engine.Incomplete}
		if ctx.Err() != nil {
			f.Reason = engine.Cancelled
		}
		return &engine.CompleteResponse{Load: s.load()}, f
	}
	isGood := good(call.RequestID, m.quality)
	return &engine.CompleteResponse{
		Body: []byte("{}"), Text: answerText(isGood), Usage: engine.Usage{Completion: answerTokens},
		Confidence: confidenceOf(call.RequestID, version, isGood), Load: s.load(),
	}, nil
}

// Stream is not used by these scenarios.
func (w *world) Stream(context.Context, engine.Call, engine.Sink) (*engine.StreamResult, *engine.Failure) {
	return &engine.StreamResult{}, &engine.Failure{Reason: engine.BadStatus, Status: http.StatusNotImplemented}
}

func answerText(isGood bool) string {
	if isGood {
		return "good"
	}
	return "poor"
}

// rater rates by the answer's text, late.
type rater struct {
	late time.Duration
	down func() bool
}

func (r rater) Rate(ctx context.Context, _, answer string) (bool, error) {
	if r.down != nil && r.down() {
		return false, fmt.Errorf("rating service is down")
	}
	select {
	case <-time.After(r.late):
		return answer == "good", nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// noCharges takes charges without keeping them.
type noCharges struct {
	mu   sync.Mutex
	cost float64
	n    int
}

func (c *noCharges) Add(x *peerpb.Charge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cost += float64(x.GetMicroUnits())
	c.n++
}

// reset starts a new measurement.
func (c *noCharges) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cost, c.n = 0, 0
}

// policies is a configuration in force that tests change at will.
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

// fleet is the replicated tables and the members that several daemons share at once.
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

// seat is one daemon's side of a fleet.
type seat struct {
	*fleet
	rank int
}

func (s seat) Fleet() *relay.Table      { return s.tables[0] }
func (s seat) Zone() *relay.Table       { return s.tables[1] }
func (s seat) MarkFrequent(string)      {}
func (s seat) Live() []member.Member    { return s.members }
func (s seat) Members() []member.Member { return s.members }
func (s seat) Rank() int                { return s.rank }

func (s seat) PublishOwn(key string, m proto.Message) error { return s.put(s.tables[0], key, m) }
func (s seat) Report(key string, m proto.Message) error     { return s.put(s.tables[1], key, m) }

func (s seat) put(t *relay.Table, key string, m proto.Message) error {
	body, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	old, _ := t.Get(key)
	t.Apply(relay.Record{Key: key, Version: old.Version + 1, Body: body})
	return nil
}
