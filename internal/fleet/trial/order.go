package trial

import (
	"slices"
	"time"

	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// State is the progress of a roll-out as the store holds it.
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
	// Era is the era of the store in which the object was read; see [mirror.Position]. Revision is the revision of the
	// stored object, Created the one at which the object was created.
	Era      int64
	Revision int64
	Created  int64
}

// sameRollout reports whether another order is a later revision of the same roll-out. After a restore of the store, the
// order may have been written again under another creation revision.
func (o Order) sameRollout(other Order) bool {
	return o.Service == other.Service && o.Target == other.Target && (o.Created == other.Created || other.Era > o.Era)
}

// matching returns the records of other daemons about the same roll-out.
func (o Order) matching(records []*peerpb.ServiceTrial) []*peerpb.ServiceTrial {
	return slices.DeleteFunc(slices.Clone(records), func(r *peerpb.ServiceTrial) bool {
		return r.GetTarget() != o.Target || r.GetRevision() != o.Created
	})
}

// finished reports whether the store holds the final state.
func (o Order) finished() bool { return o.State == Completed || o.State == RolledBack }
