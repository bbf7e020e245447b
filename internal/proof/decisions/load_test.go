package decisions

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/balance"
)

const (
	loadDaemons  = 3
	loadServers  = 9
	loadSlots    = 8
	serviceTime  = 160 * time.Millisecond
	loadDeadline = 2 * time.Second
	// ordinaryLoad is the part of the capacity that an ordinary evening uses.
	ordinaryLoad = 0.65
	loadSeeds    = 3
)

// perServer is how many requests a second one server serves at the most.
const perServer = loadSlots / 0.160

func loadModel() model { return model{"medium@1", 0.9, 2000, serviceTime} }

// evening is the result of one run.
type evening struct {
	p95Ordinary float64
	// worth is what was finished in time in the rain, as a part of what the servers left could do.
	worth float64
	tries float64
	// used is what the servers left ran in the rain, as a part of what they could do.
	used float64
	// kinds counts how requests in the rain ended.
	kinds map[fault.Kind]int
	// after is the part of requests answered once the rain is over.
	after float64
}

// sender sends one request and reports whether it was answered in time.
type sender func(ctx context.Context, i int) shown

// rainyEvening runs an ordinary time, then doubled demand with a third of the pool lost, then an ordinary time.
func rainyEvening(ctx context.Context, seed uint64, w *world, send sender) evening {
	const part = 30 * time.Second
	ordinary := ordinaryLoad * perServer * loadServers
	constant := func(rate float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return rate }
	}
	arrivals(seed, constant(ordinary), part, func(i int) shown { return send(ctx, i) })
	first := arrivals(seed+1, constant(ordinary), part, func(i int) shown { return send(ctx, 1_000_000+i) })
	for i := range loadServers / 3 {
		s := w.servers[fmt.Sprintf("engine-%d", i+1)]
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
	}
	before := w.totalRuns()
	rain := arrivals(seed+2, constant(2*ordinary), part, func(i int) shown { return send(ctx, 2_000_000+i) })
	used := float64(w.totalRuns() - before)
	for _, s := range w.servers {
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
	}
	time.Sleep(5 * time.Second)
	last := arrivals(seed+3, constant(ordinary), part, func(i int) shown { return send(ctx, 3_000_000+i) })
	left := perServer * float64(loadServers-loadServers/3) * part.Seconds()
	return evening{p95Ordinary: p95(first), used: used / left, kinds: kinds(rain), worth: float64(answered(rain)) / left, after: float64(answered(last)) / float64(len(last))}
}

func (w *world) totalRuns() int {
	n := 0
	for _, s := range w.servers {
		s.mu.Lock()
		n += s.runs
		s.mu.Unlock()
	}
	return n
}

func kinds(all []shown) map[fault.Kind]int {
	out := map[fault.Kind]int{}
	for _, s := range all {
		out[s.kind]++
	}
	return out
}

func answered(all []shown) int {
	n := 0
	for _, s := range all {
		if s.ok {
			n++
		}
	}
	return n
}

func p95(all []shown) float64 {
	var took []float64
	for _, s := range all {
		if s.ok {
			took = append(took, float64(s.took.Milliseconds()))
		}
	}
	return quantile(took, 0.95)
}

func loadWorld(seed uint64) *world {
	w := newWorld(seed, loadModel())
	w.spread = 0.3
	w.add(loadServers, loadSlots, "pwani-a", "medium@1")
	return w
}

// viaRouter sends through the product's routers, at random.
func viaRouter(t *testing.T, seed uint64) evening {
	var out evening
	bubble(t, func(ctx context.Context) {
		w := loadWorld(seed)
		p := &policies{policy: policyFor(0.8, loadModel())}
		c := p.policy.Classes["default"]
		c.Deadline, c.RateShare = loadDeadline, 0
		p.policy.Classes["default"] = c
		f := newFleet(loadDaemons)
		var ds []*daemon
		for rank := range loadDaemons {
			ds = append(ds, newDaemon(ctx, w, p, seat{f, rank}, seed, rater{}))
		}
		out = rainyEvening(ctx, seed, w, func(ctx context.Context, i int) shown {
			return ds[i%loadDaemons].ask(ctx, w, p, fmt.Sprint("load-", i), false)
		})
		attempts, requests := 0.0, 0.0
		for _, d := range ds {
			a, r := d.counts()
			attempts += a
			requests += r
		}
		out.tries = attempts / requests
	})
	return out
}

// counts returns the attempts and requests of a daemon's router.
func (d *daemon) counts() (attempts, requests float64) {
	var a, r int64
	_, _ = fmt.Sscanf(fmt.Sprintf("%+v", d.router.Dump()), "{Requests:%d Attempts:%d", &r, &a)
	return float64(a), float64(r)
}

// viaBaseline sends to a server that a rule picks, without limits; failures are sent again up to three times.
func viaBaseline(t *testing.T, seed uint64, pick func(w *world, n int, reports map[string]balance.LoadReport) string) evening {
	var out evening
	bubble(t, func(ctx context.Context) {
		w := loadWorld(seed)
		reports := map[string]balance.LoadReport{}
		var mu sync.Mutex
		go func() {
			for ctx.Err() == nil {
				mu.Lock()
				for id, s := range w.servers {
					reports[id] = s.load()
				}
				mu.Unlock()
				select {
				case <-ctx.Done():
				case <-time.After(time.Second):
				}
			}
		}()
		n, attempts, requests := 0, 0, 0
		out = rainyEvening(ctx, seed, w, func(ctx context.Context, _ int) shown {
			began := time.Now()
			ctx, cancel := context.WithTimeout(ctx, loadDeadline)
			defer cancel()
			mu.Lock()
			requests++
			mu.Unlock()
			for range 3 {
				mu.Lock()
				n++
				attempts++
				id := pick(w, n, reports)
				mu.Unlock()
				m, factor := w.model("medium@1")
				if w.servers[id].serve(ctx, time.Duration(float64(m.took)*factor), nil) {
					return shown{ok: true, at: began, took: time.Since(began)}
				}
			}
			return shown{at: began, took: time.Since(began)}
		})
		out.tries = float64(attempts) / float64(requests)
	})
	return out
}

func roundRobin(_ *world, n int, _ map[string]balance.LoadReport) string {
	return fmt.Sprintf("engine-%d", n%loadServers+1)
}

func leastLoaded(w *world, _ int, reports map[string]balance.LoadReport) string {
	best, least := "engine-1", math.MaxInt
	for i := range loadServers {
		id := fmt.Sprintf("engine-%d", i+1)
		if r := reports[id]; r.Running+r.Waiting < least {
			best, least = id, r.Running+r.Waiting
		}
	}
	_ = w
	return best
}

// clairvoyant knows each server's state at this moment.
func clairvoyant(w *world, _ int, _ map[string]balance.LoadReport) string {
	best, least := "engine-1", math.MaxInt
	for i := range loadServers {
		id := fmt.Sprintf("engine-%d", i+1)
		s := w.servers[id]
		r := s.load()
		if !s.down && r.Running+r.Waiting < least {
			best, least = id, r.Running+r.Waiting
		}
	}
	return best
}

func TestRainWithAPoolLost(t *testing.T) {
	var ours, best, robin, least []evening
	for seed := range uint64(loadSeeds) {
		ours = append(ours, viaRouter(t, 10*seed))
		best = append(best, viaBaseline(t, 10*seed, clairvoyant))
		robin = append(robin, viaBaseline(t, 10*seed, roundRobin))
		least = append(least, viaBaseline(t, 10*seed, leastLoaded))
	}
	of := func(es []evening, f func(evening) float64) float64 {
		var xs []float64
		for _, e := range es {
			xs = append(xs, f(e))
		}
		return middle(xs)
	}
	report := func(name, unit string, f func(evening) float64) float64 {
		mine := of(ours, f)
		measured("load."+name, mine, unit, fmt.Sprintf("clairvoyant:%.3g,roundRobin:%.3g,leastLoaded:%.3g", of(best, f), of(robin, f), of(least, f)))
		return mine
	}
	p95 := report("p95Ordinary", "ms", func(e evening) float64 { return e.p95Ordinary })
	worth := report("rainWorth", "of capacity", func(e evening) float64 { return e.worth })
	report("rainUsed", "of capacity", func(e evening) float64 { return e.used })
	t.Logf("ends in the rain: %v", ours[0].kinds)
	tries := report("tries", "tries/request", func(e evening) float64 { return e.tries })
	after := report("answeredAfter", "share", func(e evening) float64 { return e.after })
	ratio := p95 / of(best, func(e evening) float64 { return e.p95Ordinary })
	measured("load.p95ToClairvoyant", ratio, "ratio", "1.15")
	require.LessOrEqual(t, ratio, 1.15)
	require.GreaterOrEqual(t, worth, 0.95)
	require.LessOrEqual(t, tries, 1.1)
	require.GreaterOrEqual(t, after, 0.999)
}

// TestSmallAccountsKeepTheirShare floods a short pool from one account.
func TestSmallAccountsKeepTheirShare(t *testing.T) {
	var share []float64
	for seed := range uint64(loadSeeds) {
		share = append(share, smallAccountAnswered(t, seed))
	}
	measured("load.smallAccountAnswered", middle(share), "share", "1")
	require.GreaterOrEqual(t, middle(share), 0.99)
}

// smallAccountAnswered is the part of a small account's requests that are answered while a large one floods.
func smallAccountAnswered(t *testing.T, seed uint64) float64 {
	var out float64
	bubble(t, func(ctx context.Context) {
		w := loadWorld(seed)
		large := &policies{policy: policyFor(0.8, loadModel())}
		c := large.policy.Classes["default"]
		c.Deadline, c.RateShare = loadDeadline, 0
		large.policy.Classes["default"] = c
		smallPolicy := *large.policy
		smallPolicy.Account = "small"
		small := &policies{policy: &smallPolicy}
		d := newDaemon(ctx, w, large, seat{newFleet(1), 0}, seed, rater{})
		rng := rand.New(rand.NewPCG(seed, 9))
		capacity := perServer * float64(loadServers)
		var mu sync.Mutex
		asked, got := 0, 0
		arrivals(seed, func(time.Duration) float64 { return 2 * capacity }, 30*time.Second, func(i int) shown {
			mu.Lock()
			isSmall := rng.Float64() < 0.05
			mu.Unlock()
			if !isSmall {
				return d.ask(ctx, w, large, fmt.Sprint("large-", i), false)
			}
			s := d.ask(ctx, w, small, fmt.Sprint("small-", i), false)
			mu.Lock()
			asked++
			if s.ok {
				got++
			}
			mu.Unlock()
			return s
		})
		out = float64(got) / float64(asked)
	})
	return out
}
