package template

import "time"

// State is the state of a version in a roll-out.
type State string

// The states of a version, from first use to last.
const (
	RollingIn State = "rollingIn"
	Serving   State = "serving"
	Draining  State = "draining"
	Withdrawn State = "withdrawn"
)

// Version is one version of a model with its state and price.
type Version struct {
	// ID is "model@version", the name that engines serve it under.
	ID    string
	Model string
	State State
	// PromptCost and CompletionCost are prices in micro-units a token.
	PromptCost     float64
	CompletionCost float64
	// Exposure is how many unrated answers a rolling-in version may have out, over the fleet.
	Exposure int
	// Share is the largest share of requests a rolling-in version may take.
	MaxShare float64
	// PriorQuality is what operators believe of the version before ratings arrive.
	PriorQuality float64
	// Trial numbers the attempts to roll this version in; raising it lifts an earlier stop.
	Trial int
	// Replaces names the version whose work this one takes over.
	Replaces string
}

// Class is a class of model requests.
type Class struct {
	Name          string
	MaySettle     bool
	QualityTarget float64
	// SettleTarget is the quality that settled answers still reach.
	SettleTarget float64
	Timeout      time.Duration
	Priority     int
	// RateShare is the share of answers that are sent to the rating service.
	RateShare float64
}

// Service is a plain service beside the model engines.
type Service struct {
	Name       string
	Idempotent bool
	Timeout    time.Duration
	// WithoutStore says what happens to non-idempotent work in a store outage: "refuse" or "run".
	WithoutStore string
	// Cost is the price of one call in micro-units.
	Cost float64
}

// Weights says how much the brief's measures matter to an account, besides cost itself.
type Weights struct {
	// LatencyCost is what a second of an answer's latency is worth, in micro-units.
	LatencyCost float64
	// Exposure above 1 widens roll-outs more slowly and stops versions on less evidence.
	Exposure float64
}

// Policy is a template with one account's parameters filled in.
type Policy struct {
	Template string
	Account  string
	// Revision is the store's version of the template.
	Revision int64
	Weights  Weights
	Versions []Version
	Classes  map[string]Class
	Services map[string]Service
	// RequestsPerSecond is the account's limit over the fleet; 0 means none.
	RequestsPerSecond float64
	// FairWeight is the account's weight when capacity is short.
	FairWeight float64
}

// Version returns the version with an ID.
func (p *Policy) Version(id string) (Version, bool) {
	for _, v := range p.Versions {
		if v.ID == id {
			return v, true
		}
	}
	return Version{}, false
}

// Allows reports whether a version may get work; inSession is true for work of a session that has it.
func (p *Policy) Allows(id string, inSession bool) bool {
	v, ok := p.Version(id)
	if !ok {
		return false
	}
	switch v.State {
	case RollingIn, Serving:
		return true
	case Draining:
		return inSession
	default:
		return false
	}
}
