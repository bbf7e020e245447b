package evidence

import (
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
	// fallbackBaseline is used when neither ratings nor a prior tell the baseline.
	fallbackBaseline = 0.9
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

// versionsOf returns the versions of a template; they are the same for all accounts but for parameters.
func versionsOf(t *template.Template) []template.Version {
	for _, p := range t.Accounts {
		return p.Versions
	}
	return nil
}

func (s *Service) judgeVersion(t *template.Template, v template.Version) {
	k := Key{t.Name, v.ID, int32(v.Trial)}
	if s.Stopped(k) {
		return
	}
	switch v.State {
	case template.RollingIn:
		e := s.Fleet(k)
		if rollout.Worse(e.Good, e.Poor, s.baseline(t, v)) {
			s.stop(k, "worse than its baseline", e)
		}
	case template.Serving:
		if s.changed(k) {
			s.stop(k, "worse than it was", s.Fleet(k))
		}
	}
}

// baseline is the rate of good answers that a rolling-in version has to keep up with.
func (s *Service) baseline(t *template.Template, v template.Version) float64 {
	if v.Replaces != "" {
		for _, old := range versionsOf(t) {
			if old.ID != v.Replaces {
				continue
			}
			e := s.Fleet(Key{t.Name, old.ID, int32(old.Trial)})
			if n := e.Good + e.Poor; n >= enoughRatings {
				return e.Good/n - tolerance
			}
			return old.PriorQuality - tolerance
		}
	}
	if v.PriorQuality > 0 {
		return v.PriorQuality - tolerance
	}
	return fallbackBaseline
}

// changed feeds the detector of a serving version and reports whether it raised the alarm.
func (s *Service) changed(k Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.fleet.versions[k]
	w := s.changes[k]
	if w == nil {
		if c.Good+c.Poor < enoughRatings {
			return false
		}
		w = &watched{detector: rollout.NewChange(), good: c.Good, poor: c.Poor}
		s.changes[k] = w
		return false
	}
	baseline := float64(w.good)/float64(w.good+w.poor) - tolerance
	newGood, newPoor := c.Good-w.good, c.Poor-w.poor
	if newGood < 0 || newPoor < 0 {
		return false
	}
	w.detector.Add(int(newGood), int(newPoor), baseline)
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
