package evidence

import (
	"maps"
	"math"
	"slices"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/decide/rollout"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

const (
	// minBaselineRatings is the number of ratings from which a measured rate serves as a baseline.
	minBaselineRatings = 30
	// toleratedQualityDrop is how far a version's rate of good answers may be below its baseline.
	toleratedQualityDrop = 0.02
	// rateErrorStdDevs is how far, in standard deviations, a measured rate may exceed the true one.
	rateErrorStdDevs = 2
)

// evaluateAll evaluates every version of the configuration in force.
func (s *Service) evaluateAll() {
	for _, t := range s.policies.Templates() {
		for _, v := range versionsOf(t) {
			s.evaluateVersion(t, v)
		}
	}
}

// evaluateTrial evaluates one version; it is called at once when a poor rating arrives at this daemon.
func (s *Service) evaluateTrial(k Key) {
	for _, t := range s.policies.Templates() {
		if t.Name != k.Template {
			continue
		}
		for _, v := range versionsOf(t) {
			if v.ID == k.Version {
				s.evaluateVersion(t, v)
			}
		}
	}
}

// versionsOf returns the versions of a template from the policy of its alphabetically first
// account; those of the other accounts differ only in parameters.
func versionsOf(t *template.Template) []template.Version {
	if len(t.Accounts) == 0 {
		return nil
	}
	first := slices.Min(slices.Collect(maps.Keys(t.Accounts)))
	return t.Accounts[first].Versions
}

// exposureWeight returns the highest weight of exposure among the accounts of a template.
func exposureWeight(t *template.Template) float64 {
	weight := 0.0
	for _, p := range t.Accounts {
		weight = max(weight, p.Weights.Exposure)
	}
	return weight
}

func (s *Service) evaluateVersion(t *template.Template, v template.Version) {
	k := Key{Template: t.Name, Version: v.ID, Trial: int32(v.Trial)}
	if s.Stopped(k) {
		return
	}
	for _, key := range k.firstAndEscalated() {
		s.evaluateKey(t, v, key)
	}
	if v.State == template.RollingIn && s.exposureSpent(k, v.Exposure, exposureWeight(t)) {
		s.publishStop(k, "its exposure is spent", s.Fleet(k))
	}
}

// exposureSpent reports whether poor answers have used up a version's exposure: no answer is
// allowed any more and none awaits its rating, so that no further ratings will come.
func (s *Service) exposureSpent(k Key, exposure int, weight float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum rollout.Evidence
	for _, key := range k.firstAndEscalated() {
		e := s.knownEvidence(key)
		sum.Good += e.Good
		sum.Poor += e.Poor
		sum.Unrated += e.Unrated
	}
	return sum.Unrated == 0 && rollout.Allowance(sum, exposure, weight) < 1
}

func (s *Service) evaluateKey(t *template.Template, v template.Version, k Key) {
	switch v.State {
	case template.RollingIn:
		e := s.Fleet(k)
		if baseline, ok := s.baseline(t, v, k.Escalated); ok && rollout.Worse(e.Good, e.Poor, baseline, exposureWeight(t)) {
			s.publishStop(k, "worse than its baseline", e)
		}
	case template.Serving:
		if s.hasDeclined(k) {
			s.publishStop(k, "worse than it was", s.Fleet(k))
		}
	}
}

// baseline returns the rate of good answers that a rolling-in version must reach.
//
// It is measured on the replaced version or, without enough ratings, taken from the prior quality
// that operators state in the template, which says nothing about escalated requests.
func (s *Service) baseline(t *template.Template, v template.Version, escalated bool) (float64, bool) {
	prior := v.PriorQuality
	for _, old := range versionsOf(t) {
		if old.ID != v.Replaces {
			continue
		}
		prior = old.PriorQuality
		e := s.Fleet(Key{Template: t.Name, Version: old.ID, Trial: int32(old.Trial), Escalated: escalated})
		if e.Good+e.Poor >= minBaselineRatings {
			return lowerBound(e.Good, e.Poor), true
		}
	}
	return prior - toleratedQualityDrop, !escalated && prior > 0
}

// lowerBound returns the measured rate of good answers minus the tolerated drop and the random error of the rate.
func lowerBound(good, poor float64) float64 {
	n := good + poor
	mean := (good + 1) / (n + 2)
	return mean - toleratedQualityDrop - rateErrorStdDevs*math.Sqrt(mean*(1-mean)/n)
}

// hasDeclined feeds the detectors of a serving version and reports whether one has raised an alarm.
//
// One detector takes this daemon's own ratings as they arrive, the other one the sums over the
// fleet, which lag but contain more ratings.
func (s *Service) hasDeclined(k Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.feedDetector(detectorKey{k, true}, s.own[k])
	fleet := s.feedDetector(detectorKey{k, false}, s.fleetTotals.versions[k])
	return own || fleet
}

// feedDetector gives a detector the ratings that c adds to those it has seen, and reports whether
// it has raised an alarm. The counts of an incarnation only grow; a c lower than the last one is ignored.
// The caller holds s.mu.
func (s *Service) feedDetector(key detectorKey, c Counts) bool {
	state := s.detectors[key]
	if state == nil {
		if c.Good+c.Poor >= minBaselineRatings {
			s.detectors[key] = &detectorState{detector: rollout.NewChangeDetector(), good: c.Good, poor: c.Poor}
		}
		return false
	}
	newGood, newPoor := c.Good-state.good, c.Poor-state.poor
	if newGood < 0 || newPoor < 0 {
		return false
	}
	state.detector.AddBatch(int(newGood), int(newPoor), lowerBound(float64(state.good), float64(state.poor)))
	state.good, state.poor = c.Good, c.Poor
	return state.detector.Changed()
}

// publishStop stops a trial of a version in the whole fleet, so that the version gets no new work.
func (s *Service) publishStop(k Key, reason string, e rollout.Evidence) {
	s.log.Emit(event.RolloutStopped, "template", k.Template, "version", k.Version, "reason", reason, "good", e.Good, "poor", e.Poor)
	_ = s.gossip.PublishOwn(stopKey(k), &peerpb.StopRecord{
		Template: k.Template, Version: k.Version, Trial: k.Trial, Reason: reason, Good: int64(e.Good), Poor: int64(e.Poor),
	})
}
