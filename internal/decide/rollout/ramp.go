package rollout

import "time"

// Stages of a roll-out, as fractions of Ramp.Duration.
const (
	// widenFraction is when a new version that is not worse gets widenedShare of the sessions: they may move only in the
	// second half of a roll-out.
	widenFraction = 0.54
	// fullFraction is when the new version gets all new work.
	fullFraction = 0.66
	// minCompleteFraction is when the roll-out may complete if the old version is idle, maxCompleteFraction when it may
	// complete in any case.
	minCompleteFraction = 0.78
	maxCompleteFraction = 0.92
	// widenedShare is the share of sessions between widenFraction and fullFraction.
	widenedShare = 0.35
)

// Ramp is the planned exposure of a version that replaces another one within a given duration.
type Ramp struct {
	Duration time.Duration
	// FirstShare is the share of sessions up to widenFraction.
	FirstShare float64
}

// Share returns the share of sessions that the new version gets; it never decreases.
func (r Ramp) Share(elapsed time.Duration) float64 {
	switch fraction := r.elapsedFraction(elapsed); {
	case fraction >= fullFraction:
		return 1
	case fraction >= widenFraction:
		return max(widenedShare, r.FirstShare)
	default:
		return r.FirstShare
	}
}

// SessionsMayMove reports whether sessions that use the old version may move to the new one.
func (r Ramp) SessionsMayMove(elapsed time.Duration) bool {
	return r.elapsedFraction(elapsed) >= widenFraction
}

// MayComplete reports whether the old version may be retired; idle is true if it has no work left.
func (r Ramp) MayComplete(elapsed time.Duration, idle bool) bool {
	fraction := r.elapsedFraction(elapsed)
	return fraction >= maxCompleteFraction || fraction >= minCompleteFraction && idle
}

func (r Ramp) elapsedFraction(elapsed time.Duration) float64 {
	if r.Duration <= 0 {
		return 1
	}
	return float64(elapsed) / float64(r.Duration)
}

// Responses counts the good and bad responses of one version to one kind of request.
type Responses struct {
	Good float64
	Bad  float64
}

// Comparison holds the responses of a new version and of the one that it replaces.
type Comparison struct {
	New Responses
	Old Responses
}

const (
	// priorGoodResponses and priorBadResponses are added to the counts of the old version, so that its rate is not extreme
	// while there are few responses.
	priorGoodResponses = 30
	priorBadResponses  = 0.3
	// recentExposureWeight requires more evidence from the last seconds alone, since they are evaluated many times.
	recentExposureWeight = 0.1
)

// Regressed reports whether the new version is worse than the old one on any kind of request, over the whole roll-out
// or recently.
func Regressed(all, recent []Comparison) bool {
	return anyWorse(all, 1) || anyWorse(recent, recentExposureWeight)
}

func anyWorse(cs []Comparison, weight float64) bool {
	for _, c := range cs {
		good, bad := c.Old.Good+priorGoodResponses, c.Old.Bad+priorBadResponses
		baseline := good/(good+bad) - toleratedBadShare
		if c.New.Bad >= minBadResponses && Worse(c.New.Good, c.New.Bad, baseline, weight) {
			return true
		}
	}
	return false
}

// toleratedBadShare is by how much the share of bad responses may exceed the old version's: a new version starts with
// empty caches and is slightly slower for a while.
const toleratedBadShare = 0.06

// minBadResponses is the number of bad responses below which a version is not judged.
const minBadResponses = 3

const (
	// toleratedSlowShare is the share of slow streams that a version with little load may have.
	toleratedSlowShare = 0.15
	// speedExposureWeight requires more evidence from speeds, since streams of one server are slow together while the test
	// takes them for independent.
	speedExposureWeight = 0.1
)

// Slower reports whether a new version with little load is slow on any kind of request. Its fast streams are counted as
// good and its slow ones as bad.
func Slower(speeds []Responses) bool {
	for _, s := range speeds {
		if Worse(s.Good, s.Bad, 1-toleratedSlowShare, speedExposureWeight) {
			return true
		}
	}
	return false
}
