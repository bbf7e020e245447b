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
	// speedExposureWeight requires more evidence from speeds, since streams of one server are slow together while the test
	// takes them for independent.
	speedExposureWeight = 0.1
)

// tolerance is how much worse than the old version a new one may be.
type tolerance struct {
	// badShare is by how much the share of bad responses may exceed the old version's.
	badShare float64
	// minBad is the number of bad responses below which a version is not judged.
	minBad float64
}

var (
	// resultTolerance allows for a new version that starts with empty caches.
	resultTolerance = tolerance{badShare: 0.06, minBad: 3}
	// speedTolerance also allows for streams that share a server with long prompts.
	speedTolerance = tolerance{badShare: 0.1, minBad: 6}
)

// Regressed reports whether the new version's responses are worse than the old one's on any kind of request, over the
// whole roll-out or recently.
func Regressed(all, recent []Comparison) bool {
	return resultTolerance.exceededByAny(all, 1) || resultTolerance.exceededByAny(recent, recentExposureWeight)
}

// Slower reports the same of responses that are counted as good if they are fast and as bad if they are slow.
func Slower(all, recent []Comparison) bool {
	return speedTolerance.exceededByAny(all, speedExposureWeight) ||
		speedTolerance.exceededByAny(recent, speedExposureWeight*recentExposureWeight)
}

func (t tolerance) exceededByAny(cs []Comparison, weight float64) bool {
	for _, c := range cs {
		good, bad := c.Old.Good+priorGoodResponses, c.Old.Bad+priorBadResponses
		baseline := good/(good+bad) - t.badShare
		if c.New.Bad >= t.minBad && Worse(c.New.Good, c.New.Bad, baseline, weight) {
			return true
		}
	}
	return false
}
