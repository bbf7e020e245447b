package rollout

import "time"

// Parts of a roll-out's time at which its share changes.
const (
	// widenAt is when a version that is not worse gets more than its first share: sessions may move only
	// in the second half of a roll-out.
	widenAt = 0.54
	// allAt is when it gets all new work.
	allAt = 0.66
	// doneAt is the earliest time at which it may be completed, lastAt the latest.
	doneAt = 0.78
	lastAt = 0.92
	// wideShare is the share between widenAt and allAt.
	wideShare = 0.35
)

// Ramp is the planned exposure of a version that replaces another one in a given time.
type Ramp struct {
	Duration time.Duration
	// FirstShare is the share of sessions in the first half.
	FirstShare float64
}

// Share returns the share of sessions that the new version gets; it never falls.
func (r Ramp) Share(elapsed time.Duration) float64 {
	switch part := r.part(elapsed); {
	case part >= allAt:
		return 1
	case part >= widenAt:
		return max(wideShare, r.FirstShare)
	default:
		return r.FirstShare
	}
}

// MayComplete reports whether the old version may be given up; idle is true if it has no work left.
func (r Ramp) MayComplete(elapsed time.Duration, idle bool) bool {
	part := r.part(elapsed)
	return part >= lastAt || part >= doneAt && idle
}

func (r Ramp) part(elapsed time.Duration) float64 {
	if r.Duration <= 0 {
		return 1
	}
	return float64(elapsed) / float64(r.Duration)
}

// Answers counts the answers of one version on one kind of request.
type Answers struct {
	Good float64
	Bad  float64
}

// Comparison holds the answers of a new version and of the one that it replaces.
type Comparison struct {
	New Answers
	Old Answers
}

const (
	// priorGood and priorBad stand for what is usual of a version before anything is known of it.
	priorGood = 30
	priorBad  = 0.3
	// recentWeight asks for more evidence of the last seconds alone, which are looked at many times.
	recentWeight = 0.1
)

// Regressed reports whether the new version is worse on any kind of request, over all or of late.
func Regressed(all, recent []Comparison) bool {
	return anyWorse(all, 1) || anyWorse(recent, recentWeight)
}

func anyWorse(cs []Comparison, weight float64) bool {
	for _, c := range cs {
		good, bad := c.Old.Good+priorGood, c.Old.Bad+priorBad
		baseline := good/(good+bad) - tolerated
		if c.New.Bad >= minBad && Worse(c.New.Good, c.New.Bad, baseline, weight) {
			return true
		}
	}
	return false
}

// tolerated is by how much the share of bad answers may be higher than the old version's: a new version starts
// with empty caches and is a little slower for a while.
const tolerated = 0.06

// minBad is the number of bad answers below which a version is not judged.
const minBad = 3
