package template

import "time"

// State is the state of a version in its roll-out.
type State string

// The states of a version, in the order in which a version passes through them.
const (
	RollingIn State = "rollingIn"
	Serving   State = "serving"
	Draining  State = "draining"
	Withdrawn State = "withdrawn"
)

// Version is a version of a model.
type Version struct {
	// ID is "model@version", the name under which engines serve the version.
	ID    string
	Model string
	State State
	// PromptCost and CompletionCost are prices in micro-units per token.
	PromptCost     float64
	CompletionCost float64
	// Exposure bounds the unrated answers of a rolling-in version over the whole fleet.
	Exposure int
	// MaxShare bounds the share of requests that a rolling-in version may get.
	MaxShare float64
	// PriorQuality is the operators' estimate of the version's quality before ratings arrive.
	PriorQuality float64
	// Trial counts the roll-outs of this version; raising it lets a stopped roll-out start anew.
	Trial int
	// Replaces is the ID of the version that this one takes over from; may be empty.
	Replaces string
}

// Class is a class of model requests.
type Class struct {
	Name string
	// MaySettle is true if requests may settle for a cheaper answer below QualityTarget.
	MaySettle     bool
	QualityTarget float64
	// SettleTarget is the quality target of requests that settle; at most QualityTarget.
	SettleTarget float64
	// Timeout bounds how far ahead a request's deadline may be, and is the default for requests without one.
	Timeout time.Duration
	// Priority bounds the priority of a request, and is the default for requests without one; a higher one is served first.
	Priority int
	// RateShare is the share of answers that are sent to the rating service.
	RateShare float64
}

// Service is a plain service beside the model engines.
type Service struct {
	Name       string
	Idempotent bool
	// Timeout bounds how far ahead a request's deadline may be, and is the default for requests without one.
	Timeout time.Duration
	// WithoutStore determines what happens to non-idempotent requests during a store outage: "refuse" or "run".
	WithoutStore string
	// Cost is the price of one request in micro-units.
	Cost float64
}

// Weights weighs other objectives of an account against cost.
type Weights struct {
	// LatencyCost is the cost of latency in micro-units per second.
	LatencyCost float64
	// Exposure is the weight of poor answers in roll-outs; above 1, these widen more slowly and are stopped on less evidence.
	Exposure float64
}

// Policy is a template with the parameters of one account applied.
type Policy struct {
	Template string
	Account  string
	// Revision is the version of the template in the store.
	Revision int64
	Weights  Weights
	Versions []Version
	Classes  map[string]Class
	Services map[string]Service
	// RequestsPerSecond is the account's rate limit over the whole fleet; 0 means no limit.
	RequestsPerSecond float64
	// FairWeight is the account's weight in sharing scarce capacity.
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

// Allows reports whether requests may be sent to a version; inSession is true for those of a session that already uses it.
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
