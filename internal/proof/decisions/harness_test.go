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

func requestedVersion(body []byte) string {
	var in struct {
		Model string `json:"model"`
	}
	_ = json.Unmarshal(body, &in)
	return in.Model
}

// daemon has the router of one daemon and the components that its decisions depend on, connected to stand-ins.
type daemon struct {
	router   *chat.Router
	evidence *evidence.Service
	charges  *chargeTotals
	pool     *pool.Pool
}

// newDaemon builds the router and the components of one daemon and runs them until ctx is done.
func newDaemon(ctx context.Context, w *world, p *policies, view daemonView, seed uint64, ratingClient rater) *daemon {
	rng := rand.New(rand.NewPCG(seed, uint64(view.rank)+100))
	var mu sync.Mutex
	random := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}
	log := event.Discard()
	d := &daemon{charges: &chargeTotals{}}
	d.pool = pool.New(w, balance.New("pwani", "pwani-a", random), "pwani", 1<<20)
	d.evidence = evidence.New(view.members[view.rank].Node, view, view, p, time.Second, log)
	ratings := chat.NewRatingQueue(ratingClient, log)
	d.router = chat.New(chat.Deps{
		Engines: w, Pool: d.pool, Evidence: d.evidence, Policies: p, Charges: d.charges, Ratings: ratings,
		Learner: chat.NewLearner(), Stale: func() bool { return false }, Random: random, Log: log,
	})
	go func() { _ = d.evidence.Run(ctx) }()
	go func() { _ = ratings.Run(ctx) }()
	return d
}

// outcome is the result of one request as its caller sees it.
type outcome struct {
	version   string
	good      bool
	answered  bool
	latency   time.Duration
	faultKind fault.Kind
	sentAt    time.Time
}

// versionRecorder is a response writer that keeps only the version.
type versionRecorder struct{ version string }

func (r *versionRecorder) Begin(version string, _ int, _ string) { r.version = version }
func (r *versionRecorder) Header() http.Header                   { return http.Header{} }
func (r *versionRecorder) Write(p []byte) (int, error)           { return len(p), nil }
func (r *versionRecorder) WriteHeader(int)                       {}
func (r *versionRecorder) Flush() error                          { return nil }

// sendChat sends one request through the daemon. The prompt is the request ID, which decides how good the answers are.
func (d *daemon) sendChat(ctx context.Context, w *world, p *policies, id string, maySettle bool) outcome {
	parsed, err := chat.ParseChat(fmt.Appendf(nil, `{"model":"auto","messages":[{"role":"user","content":%q}]}`, id))
	if err != nil {
		return outcome{}
	}
	policy, _ := p.Policy("", "")
	class := policy.Classes["default"]
	began := time.Now()
	var rec versionRecorder
	err = d.router.Serve(ctx, &chat.Request{
		Policy: policy, Class: class, RequestID: id, Deadline: began.Add(class.Timeout),
		Priority: class.Priority, MaySettle: maySettle, Chat: parsed,
	}, &rec)
	v, _ := w.lookUp(rec.version)
	out := outcome{version: rec.version, answered: err == nil, latency: time.Since(began), sentAt: began}
	if err != nil {
		out.faultKind = fault.KindOf(err)
		return out
	}
	out.good = answersWell(id, v.quality)
	return out
}

// sendPoisson sends requests with exponentially distributed gaps and returns their outcomes in the
// order of sending, once all have ended. The rate may change with the time since the start.
func sendPoisson(seed uint64, perSecond func(since time.Duration) float64, duration time.Duration, send func(i int) outcome) []outcome {
	rng := rand.New(rand.NewPCG(seed, 7))
	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < duration; i++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond(time.Since(began)) * float64(time.Second)))
		wg.Go(func() {
			o := send(i)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
	}
	wg.Wait()
	slices.SortFunc(outcomes, func(a, b outcome) int { return a.sentAt.Compare(b.sentAt) })
	return outcomes
}

// inVirtualTime runs a scenario in a synctest bubble, whose clock advances only while all its
// goroutines wait. Goroutines that the scenario starts have to end when ctx is done.
func inVirtualTime(t testing.TB, scenario func(ctx context.Context)) {
	test, ok := t.(*testing.T)
	require.True(t, ok)
	synctest.Test(test, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		scenario(ctx)
		cancel()
		synctest.Wait()
	})
}

// threeVersions returns a cheap, a medium and an expensive version; quality grows with cost.
func threeVersions() []simulatedVersion {
	return []simulatedVersion{
		{"small@1", 0.70, 400, 80 * time.Millisecond},
		{"medium@1", 0.88, 2000, 160 * time.Millisecond},
		{"large@1", 0.985, 7500, 320 * time.Millisecond},
	}
}

// servingPolicy returns the policy of an account for which all the versions serve.
// The last one has to be the best.
func servingPolicy(qualityTarget float64, versions ...simulatedVersion) *template.Policy {
	p := &template.Policy{
		Template: "quotes", Account: "karamu", Weights: template.Weights{Exposure: 1}, FairWeight: 1,
		Classes: map[string]template.Class{"default": {
			Name: "default", QualityTarget: qualityTarget, SettleTarget: qualityTarget, Timeout: 5 * time.Second, Priority: 5, RateShare: 0.1,
		}},
	}
	for _, v := range versions {
		p.Versions = append(p.Versions, template.Version{
			ID: v.id, Model: v.id[:len(v.id)-2], State: template.Serving, CompletionCost: v.answerCost / answerTokens, PriorQuality: 0.5, Trial: 1, Exposure: 20, MaxShare: 0.5,
		})
	}
	// Operators give a high prior quality to the best version only.
	p.Versions[len(versions)-1].PriorQuality = 0.97
	return p
}

func median(xs []float64) float64 {
	slices.Sort(xs)
	return xs[len(xs)/2]
}

func quantile(xs []float64, q float64) float64 {
	slices.Sort(xs)
	return xs[min(len(xs)-1, int(q*float64(len(xs))))]
}
