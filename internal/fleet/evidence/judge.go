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
	// enoughRatings is how many ratings the baseline of a replaced version needs.
	enoughRatings = 30
	// tolerance is how much worse than its baseline a version may be.
	tolerance = 0.02
	// chance is how many standard deviations a measured rate may be too high.
	chance = 2
)

// judgeAll judges every version in force.
func (s *Service) judgeAll() {
	for _, t := range s.policies.Templates() {
		for _, v := range versionsOf(t) {
			s.judgeVersion(t, v)
		}
	}
}

// judge judges one version as soon as a poor rating arrives here.
func (s *Service) judge(k Key) {
	for _, t := range s.policies.Templates() {
		if t.Name != k.Template {
			continue
		}
		for _, v := range versionsOf(t) {
			if v.ID == k.Version {
				s.judgeVersion(t, v)
			}
		}
	}
}

// versionsOf returns the versions of a template as its first account by name has them; those of
// other accounts differ by parameters only.
func versionsOf(t *template.Template) []template.Version {
	if len(t.Accounts) == 0 {
		return nil
	}
	first := slices.Min(slices.Collect(maps.Keys(t.Accounts)))
	return t.Accounts[first].Versions
}

// exposureWeight is the highest weight that any account of a template gives to exposure.
func exposureWeight(t *template.Template) float64 {
	weight := 0.0
	for _, p := range t.Accounts {
		weight = max(weight, p.Weights.Exposure)
	}
	return weight
}

func (s *Service) judgeVersion(t *template.Template, v template.Version) {
	k := Key{Template: t.Name, Version: v.ID, Trial: int32(v.Trial)}
	if s.Stopped(k) {
		return
	}
	for _, stage := range k.stages() {
		s.judgeStage(t, v, stage)
	}
	if v.State == template.RollingIn && s.spent(k, v.Exposure, exposureWeight(t)) {
		s.stop(k, "its exposure is spent", s.Fleet(k))
	}
}

// spent reports whether poor answers have used up a version's exposure, so that no more answers will judge it.
func (s *Service) spent(k Key, exposure int, weight float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum rollout.Evidence
	for _, stage := range k.stages() {
		e := s.known(stage)
		sum.Good += e.Good
		sum.Poor += e.Poor
		sum.Unrated += e.Unrated
	}
	return sum.Unrated == 0 && rollout.Allowance(sum, exposure, weight) < 1
}

func (s *Service) judgeStage(t *template.Template, v template.Version, k Key) {
	switch v.State {
	case template.RollingIn:
		e := s.Fleet(k)
		if baseline, ok := s.baseline(t, v, k.After); ok && rollout.Worse(e.Good, e.Poor, baseline, exposureWeight(t)) {
			s.stop(k, "worse than its baseline", e)
		}
	case template.Serving:
		if s.changed(k) {
			s.stop(k, "worse than it was", s.Fleet(k))
		}
	}
}

// baseline is the rate of good answers that a rolling-in version has to keep up with.
//
// Without enough ratings it is what operators believe, which says nothing of requests
// that a first version failed.
func (s *Service) baseline(t *template.Template, v template.Version, after bool) (float64, bool) {
	prior := v.PriorQuality
	for _, old := range versionsOf(t) {
		if old.ID != v.Replaces {
			continue
		}
		prior = old.PriorQuality
		e := s.Fleet(Key{Template: t.Name, Version: old.ID, Trial: int32(old.Trial), After: after})
		if e.Good+e.Poor >= enoughRatings {
			return lowerBound(e.Good, e.Poor), true
		}
	}
	return prior - tolerance, !after && prior > 0
}

// lowerBound is the rate of good answers less the tolerance and what chance may have added.
func lowerBound(good, poor float64) float64 {
	n := good + poor
	mean := (good + 1) / (n + 2)
	return mean - tolerance - chance*math.Sqrt(mean*(1-mean)/n)
}

// changed feeds the detectors of a serving version and reports whether one raised the alarm.
//
// One detector takes this daemon's own ratings as they come, the other the fleet's sums,
// which lag but contain more.
func (s *Service) changed(k Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.watch(watchKey{k, true}, s.own[k])
	fleet := s.watch(watchKey{k, false}, s.fleet.versions[k])
	return own || fleet
}

// watch gives a detector the ratings that are new in counts, which only grow; s.mu is held.
func (s *Service) watch(key watchKey, c Counts) bool {
	w := s.changes[key]
	if w == nil {
		if c.Good+c.Poor >= enoughRatings {
			s.changes[key] = &watched{detector: rollout.NewChangeDetector(), good: c.Good, poor: c.Poor}
		}
		return false
	}
	newGood, newPoor := c.Good-w.good, c.Poor-w.poor
	if newGood < 0 || newPoor < 0 {
		return false
	}
	w.detector.AddBatch(int(newGood), int(newPoor), lowerBound(float64(w.good), float64(w.poor)))
	w.good, w.poor = c.Good, c.Poor
	return w.detector.Changed()
}

// stop publishes that a trial of a version gets no new work.
func (s *Service) stop(k Key, reason string, e rollout.Evidence) {
	s.log.Emit(event.RolloutStopped, "template", k.Template, "version", k.Version, "reason", reason, "good", e.Good, "poor", e.Poor)
	_ = s.gossip.PublishOwn(stopKey(k), &peerpb.StopRecord{
		Template: k.Template, Version: k.Version, Trial: k.Trial, Reason: reason, Good: int64(e.Good), Poor: int64(e.Poor),
	})
}
