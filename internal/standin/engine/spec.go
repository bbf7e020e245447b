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
	// TimeToFirstToken is the time to the first token of an idle engine, for a prompt without a cached prefix.
	TimeToFirstToken time.Duration `json:"firstToken"`
	// InterTokenLatency is the time between two tokens of an idle engine.
	InterTokenLatency time.Duration `json:"tokenGap"`
	// Slots is the number of requests that run concurrently; others wait. 0 stands for 64.
	Slots int `json:"slots"`
	// Tokens is the length of an answer unless max_tokens is lower. 0 stands for 24.
	Tokens int `json:"tokens"`
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool `json:"checksFencing"`
	// LoadTime is how long an order takes to load its versions.
	LoadTime time.Duration `json:"loadTime"`
}

// Faults are the faults that an engine injects.
type Faults struct {
	// Refuse responds to new requests with 503, as a server does that is leaving.
	Refuse bool `json:"refuse"`
	// StallAfterTokens stalls each stream after this many tokens and keeps the connection open; 0 means never.
	StallAfterTokens int `json:"stallAfter"`
	// CloseAfterTokens closes the connection of each stream after this many tokens of the answer, and that of a
	// response that is not streamed after half of its body; 0 means never.
	CloseAfterTokens int `json:"cutAfter"`
	// CloseOnceAfterTokens closes the first connection of each stream after this many tokens; once resumed, the stream
	// is not closed again. 0 means never.
	CloseOnceAfterTokens int `json:"cutOnceAfter"`
	// WrongRequestID puts the ID of another request into the response.
	WrongRequestID bool `json:"crossed"`
	// FirstTokenDelayMs adds to the time to the first token.
	FirstTokenDelayMs int `json:"delayMs"`
	// QualityByVersion replaces the quality of the versions that it names.
	QualityByVersion map[string]float64 `json:"quality"`
}

// Run is the execution of one attempt.
type Run struct {
	Attempt string    `json:"attempt"`
	Version string    `json:"version"`
	At      time.Time `json:"at"`
	// Complete is true if the complete response was written.
	Complete bool `json:"whole"`
	Good     bool `json:"good"`
}

// Engine is one stand-in engine.
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

// New returns an idle engine without faults.
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

// SetFaults replaces all faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Runs returns the executions that have ended so far.
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

// hashToUnit hashes a text to [0, 1).
func hashToUnit(text string) float64 {
	return float64(xxhash.Sum64String(text)>>11) / float64(1<<53)
}

// Good reports whether a version of the given quality gives a good answer to a prompt.
func Good(prompt string, quality float64) bool { return hashToUnit("difficulty "+prompt) < quality }

// confidenceNoiseWidth is the width of the noise in an answer's confidence. It exceeds the distance of 0.3 between
// good and poor answers, so that their confidences overlap.
const confidenceNoiseWidth = 0.5

// confidence returns the mean token probability that the engine reports for an answer.
func confidence(prompt, version string, good bool) float64 {
	base := 0.35
	if good {
		base = 0.65
	}
	noise := (hashToUnit("noise "+version+prompt) - 0.5) * confidenceNoiseWidth
	return math.Min(0.99, math.Max(0.01, base+noise))
}
