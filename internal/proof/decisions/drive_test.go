package decisions

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/balance"
	"github.com/pollencourse/pollencourse/internal/fleet/evidence"
	"github.com/pollencourse/pollencourse/internal/route/chat"
	"github.com/pollencourse/pollencourse/internal/route/pool"
)

func versionOf(body []byte) string {
	var in struct {
		Model string `json:"model"`
	}
	_ = json.Unmarshal(body, &in)
	return in.Model
}

// daemon is one router with what it needs, over fakes.
type daemon struct {
	router   *chat.Router
	evidence *evidence.Service
	charges  *noCharges
	pool     *pool.Pool
}

// newDaemon builds the parts of a daemon that decide, and runs them until ctx ends.
func newDaemon(ctx context.Context, w *world, p *policies, s seat, seed uint64, r rater) *daemon {
	rng := rand.New(rand.NewPCG(seed, uint64(s.rank)+100))
	var mu sync.Mutex
	random := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}
	log := event.Discard()
	d := &daemon{charges: &noCharges{}}
	d.pool = pool.New(w, balance.New("pwani", "pwani-a", random), "pwani", 1<<20)
	d.evidence = evidence.New(s.members[s.rank].Node, s, s, p, time.Second, log)
	ratings := chat.NewRatingQueue(r, log)
	d.router = chat.New(chat.Deps{
		Engines: w, Pool: d.pool, Evidence: d.evidence, Policies: p, Charges: d.charges, Ratings: ratings,
		Learner: chat.NewLearner(), Stale: func() bool { return false }, Random: random, Log: log,
	})
	go func() { _ = d.evidence.Run(ctx) }()
	go func() { _ = ratings.Run(ctx) }()
	return d
}

// shown is what a caller got.
type shown struct {
	version string
	good    bool
	ok      bool
	took    time.Duration
	kind    fault.Kind
	at      time.Time
}

// recorder is an answer that only notes the version.
type recorder struct{ version string }

func (r *recorder) Begin(version string, _ int, _ string) { r.version = version }
func (r *recorder) Header() http.Header                   { return http.Header{} }
func (r *recorder) Write(p []byte) (int, error)           { return len(p), nil }
func (r *recorder) WriteHeader(int)                       {}
func (r *recorder) Flush() error                          { return nil }

// ask sends one request through a daemon.
func (d *daemon) ask(ctx context.Context, w *world, p *policies, id string, settle bool) shown {
	parsed, err := chat.ParseChat(fmt.Appendf(nil, `{"model":"auto","messages":[{"role":"user","content":%q}]}`, id))
	if err != nil {
		return shown{}
	}
	policy, _ := p.Policy("", "")
	class := policy.Classes["default"]
	began := time.Now()
	var rec recorder
	err = d.router.Serve(ctx, &chat.Request{
		Policy: policy, Class: class, RequestID: id, Deadline: began.Add(class.Timeout),
		Priority: class.Priority, MaySettle: settle, Chat: parsed,
	}, &rec)
	m, _ := w.model(rec.version)
	out := shown{version: rec.version, ok: err == nil, took: time.Since(began), at: began}
	if err != nil {
		out.kind = fault.KindOf(err)
		return out
	}
	out.good = good(id, m.quality)
	return out
}

// arrivals sends requests at a rate that may change, for a time, and returns what came of each in order.
func arrivals(seed uint64, perSecond func(since time.Duration) float64, during time.Duration, send func(i int) shown) []shown {
	rng := rand.New(rand.NewPCG(seed, 7))
	var mu sync.Mutex
	var out []shown
	var wg sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < during; i++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond(time.Since(began)) * float64(time.Second)))
		wg.Go(func() {
			s := send(i)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, s)
		})
	}
	wg.Wait()
	slices.SortFunc(out, func(a, b shown) int { return a.at.Compare(b.at) })
	return out
}

// bubble runs a scenario in virtual time; what it started ends with ctx.
func bubble(t testing.TB, fn func(ctx context.Context)) {
	tt, ok := t.(*testing.T)
	require.True(t, ok)
	synctest.Test(tt, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fn(ctx)
		cancel()
		synctest.Wait()
	})
}

// threeModels are the models of unlike cost and quality that most scenarios use.
func threeModels() []model {
	return []model{
		{"small@1", 0.70, 400, 80 * time.Millisecond},
		{"medium@1", 0.88, 2000, 160 * time.Millisecond},
		{"large@1", 0.985, 7500, 320 * time.Millisecond},
	}
}

// policyFor is a template that serves the models.
func policyFor(target float64, models ...model) *template.Policy {
	p := &template.Policy{
		Template: "quotes", Account: "karamu", Weights: template.Weights{Exposure: 1}, FairWeight: 1,
		Classes: map[string]template.Class{"default": {
			Name: "default", QualityTarget: target, SettleTarget: target, Timeout: 5 * time.Second, Priority: 5, RateShare: 0.1,
		}},
	}
	for _, m := range models {
		p.Versions = append(p.Versions, template.Version{
			ID: m.id, Model: m.id[:len(m.id)-2], State: template.Serving, CompletionCost: m.price / answerTokens, PriorQuality: 0.5, Trial: 1, Exposure: 20, MaxShare: 0.5,
		})
	}
	// Operators know the best model as good.
	p.Versions[len(models)-1].PriorQuality = 0.97
	return p
}

func middle(xs []float64) float64 {
	slices.Sort(xs)
	return xs[len(xs)/2]
}

func quantile(xs []float64, q float64) float64 {
	slices.Sort(xs)
	return xs[min(len(xs)-1, int(q*float64(len(xs))))]
}
