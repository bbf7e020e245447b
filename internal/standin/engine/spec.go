package engine

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Spec describes one engine.
type Spec struct {
	// Serves maps each version to its quality in [0, 1].
	Serves map[string]float64 `json:"serves"`
	// TimeToFirstToken is the time before the first token of an idle engine.
	TimeToFirstToken time.Duration `json:"firstToken"`
	// InterTokenLatency is the time between tokens of an idle engine.
	InterTokenLatency time.Duration `json:"tokenGap"`
	// Slots is how many requests run at a time; others wait.
	Slots int `json:"slots"`
	// Tokens is the length of an answer unless max_tokens is lower.
	Tokens int `json:"tokens"`
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool `json:"checksFencing"`
	// LoadTime is how long loading a version takes.
	LoadTime time.Duration `json:"loadTime"`
}

// Faults are the switches of one engine.
type Faults struct {
	// Refuse makes it answer 503 to new work, as a leaving server does.
	Refuse bool `json:"refuse"`
	// StallAfterTokens stops a stream after this many tokens; 0 means never.
	StallAfterTokens int `json:"stallAfter"`
	// CloseAfterTokens closes the connection after this many tokens; 0 means never.
	CloseAfterTokens int `json:"cutAfter"`
	// CloseOnceAfterTokens closes the first connection of each stream after this many tokens; it can be resumed.
	CloseOnceAfterTokens int `json:"cutOnceAfter"`
	// WrongRequestID makes it answer with another request's ID.
	WrongRequestID bool `json:"crossed"`
	// FirstTokenDelayMs delays the first token further, in milliseconds.
	FirstTokenDelayMs int `json:"delayMs"`
	// QualityByVersion replaces the quality of versions by ID.
	QualityByVersion map[string]float64 `json:"quality"`
}

// Run is one execution that the engine saw.
type Run struct {
	Attempt string    `json:"attempt"`
	Version string    `json:"version"`
	At      time.Time `json:"at"`
	// Complete is true if all tokens were written.
	Complete bool `json:"whole"`
	Good     bool `json:"good"`
}

// Engine is one engine with its state.
type Engine struct {
	spec  Spec
	slots chan struct{}

	mu      sync.Mutex
	faults  Faults
	runs    []Run
	loaded  map[string]float64
	fencing int64
	orders  []Order
	waiting int
	running int
	cache   *prefixCache
}

// New returns an idle engine.
func New(spec Spec) *Engine {
	if spec.Slots == 0 {
		spec.Slots = 64
	}
	if spec.Tokens == 0 {
		spec.Tokens = 24
	}
	loaded := map[string]float64{}
	for v, q := range spec.Serves {
		loaded[v] = q
	}
	return &Engine{spec: spec, slots: make(chan struct{}, spec.Slots), loaded: loaded, cache: newPrefixCache()}
}

// SetFaults replaces the fault switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Runs returns what the engine executed so far.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

func (e *Engine) quality(version string) (float64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	q, ok := e.loaded[version]
	if f, set := e.faults.QualityByVersion[version]; set && ok {
		q = f
	}
	return q, ok
}

// unit maps a text to [0, 1).
func unit(text string) float64 {
	return float64(xxhash.Sum64String(text)>>11) / float64(1<<53)
}

// Good reports whether a version of the given quality answers a prompt well.
func Good(prompt string, quality float64) bool { return unit("difficulty "+prompt) < quality }

// noiseWidth is how much the confidence of good and poor answers overlaps.
const noiseWidth = 0.5

// confidence is the mean token probability that the engine reports for an answer.
func confidence(prompt, version string, good bool) float64 {
	base := 0.35
	if good {
		base = 0.65
	}
	noise := (unit("noise "+version+prompt) - 0.5) * noiseWidth
	return math.Min(0.99, math.Max(0.01, base+noise))
}
