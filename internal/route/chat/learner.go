package chat

import (
	"sync"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/decide/cascade"
)

// statsKey identifies the statistics of one version in one class of a template.
type statsKey struct {
	template string
	class    string
	version  string
}

// tokenUsage holds smoothed token counts of an answer.
type tokenUsage struct {
	prompt     float64
	completion float64
	seen       bool
}

// Learner keeps the quality and cost of versions by template and class, and caches plans.
type Learner struct {
	mu       sync.Mutex
	evidence map[statsKey]*cascade.Evidence
	tokens   map[statsKey]*tokenUsage
	plans    map[planKey]cachedPlan
}

// planKey identifies requests that share a plan.
type planKey struct {
	template string
	account  string
	class    string
	revision int64
	settling bool
	direct   bool
	versions string
	// timeLeft is the time to the deadline in steps of planTimeStep.
	timeLeft time.Duration
}

type cachedPlan struct {
	mix     cascade.Mix
	ok      bool
	expires time.Time
}

const (
	// planLifetime is how long a plan is cached before it is computed from the current evidence again.
	planLifetime = 250 * time.Millisecond
	planTimeStep = 250 * time.Millisecond
	// tokenSmoothing is the weight of the newest answer in the smoothed token counts.
	tokenSmoothing = 0.05
	// initialTokens is the token count assumed for a prompt and for an answer before any is seen.
	initialTokens  = 100
	maxCachedPlans = 4096
)

// NewLearner returns a learner without evidence.
func NewLearner() *Learner {
	return &Learner{evidence: map[statsKey]*cascade.Evidence{}, tokens: map[statsKey]*tokenUsage{}, plans: map[planKey]cachedPlan{}}
}

// withEvidence calls fn with exclusive access to the evidence of a version.
func (l *Learner) withEvidence(k statsKey, prior float64, fn func(*cascade.Evidence)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn(l.evidenceOf(k, prior))
}

// evidenceOf returns the evidence of a version, a new one if there is none; l.mu is held.
func (l *Learner) evidenceOf(k statsKey, prior float64) *cascade.Evidence {
	e := l.evidence[k]
	if e == nil {
		e = &cascade.Evidence{Prior: prior}
		l.evidence[k] = e
	}
	return e
}

// addUsage adds the tokens of an answer to the smoothed counts.
func (l *Learner) addUsage(k statsKey, prompt, completion int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.tokens[k]
	if usage == nil {
		usage = &tokenUsage{}
		l.tokens[k] = usage
	}
	if !usage.seen {
		usage.prompt, usage.completion, usage.seen = float64(prompt), float64(completion), true
		return
	}
	usage.prompt += tokenSmoothing * (float64(prompt) - usage.prompt)
	usage.completion += tokenSmoothing * (float64(completion) - usage.completion)
}

// expectedCost returns the expected cost of an answer in micro-units; l.mu is held.
func (l *Learner) expectedCost(k statsKey, v template.Version) float64 {
	usage := l.tokens[k]
	if usage == nil {
		usage = &tokenUsage{prompt: initialTokens, completion: initialTokens}
	}
	return usage.prompt*v.PromptCost + usage.completion*v.CompletionCost
}

// candidateVersion is a version with the mean latency of its servers.
type candidateVersion struct {
	version template.Version
	latency time.Duration
}

// choose returns the mix of plans for a key, from the cache if it has not expired.
func (l *Learner) choose(key planKey, versions []candidateVersion, req cascade.Requirements) (cascade.Mix, bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.plans[key]; ok && now.Before(p.expires) {
		return p.mix, p.ok
	}
	var candidates []cascade.Candidate
	for _, c := range versions {
		k := statsKey{key.template, key.class, c.version.ID}
		candidates = append(candidates, cascade.Candidate{
			ID: c.version.ID, Cost: l.expectedCost(k, c.version), Latency: c.latency,
			Evidence: l.evidenceOf(k, c.version.PriorQuality),
		})
	}
	mix, ok := cascade.Choose(candidates, req)
	if len(l.plans) >= maxCachedPlans {
		clear(l.plans)
	}
	l.plans[key] = cachedPlan{mix: mix, ok: ok, expires: now.Add(planLifetime)}
	return mix, ok
}

// VersionStats holds the statistics of one version in one class, for the dump.
type VersionStats struct {
	Template         string  `json:"template"`
	Class            string  `json:"class"`
	Version          string  `json:"version"`
	Rated            float64 `json:"rated"`
	CompletionTokens float64 `json:"completionTokens"`
}

// Dump returns the number of ratings and the mean completion tokens of each version in each class.
func (l *Learner) Dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []VersionStats
	for k, e := range l.evidence {
		stats := VersionStats{Template: k.template, Class: k.class, Version: k.version, Rated: e.RatingCount()}
		if usage := l.tokens[k]; usage != nil {
			stats.CompletionTokens = usage.completion
		}
		out = append(out, stats)
	}
	return out
}
