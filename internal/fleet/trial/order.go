package trial

import "time"

// State is how far a roll-out has come, as the store holds it.
type State string

// The states of a roll-out.
const (
	Ordered    State = ""
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolledBack"
)

// Order is the platform's order to move a service's traffic to a version.
type Order struct {
	Service  string
	Target   string
	Duration time.Duration
	State    State
	// Revision is that of the stored object, Created the one at which it was made.
	Revision int64
	Created  int64
}

// same reports whether two orders are for one trial.
func (o Order) same(other Order) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Created == other.Created
}

// over reports whether the outcome is in the store.
func (o Order) over() bool { return o.State == Completed || o.State == RolledBack }
