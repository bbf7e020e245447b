package chat

import (
	"sync"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/decide/cascade"
)

// learned names what is learned of one version in one class of a template.
type learned struct {
	template string
	class    string
	version  string
}

// usage is the smoothed number of tokens of an answer.
type usage struct {
	prompt     float64
	completion float64
	seen       bool
}

// Learner keeps quality and cost of versions by template and class.
type Learner struct {
	mu       sync.Mutex
	evidence map[learned]*cascade.Evidence
	tokens   map[learned]*usage
	plans    map[planKey]cachedPlan
}

// planKey names a decision that is the same for many requests.
type planKey struct {
	template string
	account  string
	class    string
	revision int64
	settle   bool
	direct   bool
	versions string
	// left is the time left in steps of planStep.
	left time.Duration
}

type cachedPlan struct {
	mix  cascade.Mix
	ok   bool
	till time.Time
}

const (
	// planLifetime is how long a plan is used before evidence is looked at again.
	planLifetime = 250 * time.Millisecond
	planStep     = 250 * time.Millisecond
	tokenSmooth  = 0.05
	firstTokens  = 100
	maxPlans     = 4096
)

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner {
	return &Learner{evidence: map[learned]*cascade.Evidence{}, tokens: map[learned]*usage{}, plans: map[planKey]cachedPlan{}}
}

// with calls fn with the evidence of a version while no one else uses it.
func (l *Learner) with(k learned, prior float64, fn func(*cascade.Evidence)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn(l.of(k, prior))
}

func (l *Learner) of(k learned, prior float64) *cascade.Evidence {
	e := l.evidence[k]
	if e == nil {
		e = &cascade.Evidence{Prior: prior}
		l.evidence[k] = e
	}
	return e
}

// used takes the tokens of an answer into account.
func (l *Learner) used(k learned, prompt, completion int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.tokens[k]
	if u == nil {
		u = &usage{}
		l.tokens[k] = u
	}
	if !u.seen {
		u.prompt, u.completion, u.seen = float64(prompt), float64(completion), true
		return
	}
	u.prompt += tokenSmooth * (float64(prompt) - u.prompt)
	u.completion += tokenSmooth * (float64(completion) - u.completion)
}

// cost is the expected cost of an answer; l.mu is held.
func (l *Learner) cost(k learned, v template.Version) float64 {
	u := l.tokens[k]
	if u == nil {
		u = &usage{prompt: firstTokens, completion: firstTokens}
	}
	return u.prompt*v.PromptCost + u.completion*v.CompletionCost
}

// candidateOf is a version with what the pool knows of its latency.
type candidateOf struct {
	version template.Version
	latency time.Duration
}

// choose returns the plan for a key, from the cache while it is fresh.
func (l *Learner) choose(key planKey, versions []candidateOf, goal cascade.Requirements) (cascade.Mix, bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.plans[key]; ok && now.Before(p.till) {
		return p.mix, p.ok
	}
	var candidates []cascade.Candidate
	for _, c := range versions {
		k := learned{key.template, key.class, c.version.ID}
		candidates = append(candidates, cascade.Candidate{
			ID: c.version.ID, Cost: l.cost(k, c.version), Latency: c.latency,
			Evidence: l.of(k, c.version.PriorQuality),
		})
	}
	mix, ok := cascade.Choose(candidates, goal)
	if len(l.plans) >= maxPlans {
		clear(l.plans)
	}
	l.plans[key] = cachedPlan{mix: mix, ok: ok, till: now.Add(planLifetime)}
	return mix, ok
}

// Known is what is learned of one version, for the dump.
type Known struct {
	Template   string  `json:"template"`
	Class      string  `json:"class"`
	Version    string  `json:"version"`
	Rated      float64 `json:"rated"`
	Completion float64 `json:"completionTokens"`
}

// Dump shows how many ratings each version has in each class.
func (l *Learner) Dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Known
	for k, e := range l.evidence {
		known := Known{Template: k.template, Class: k.class, Version: k.version, Rated: e.RatingCount()}
		if u := l.tokens[k]; u != nil {
			known.Completion = u.completion
		}
		out = append(out, known)
	}
	return out
}
