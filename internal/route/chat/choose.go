package chat

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/cascade"
	"github.com/pollencourse/pollencourse/internal/fleet/evidence"
)

// confidence is the number of standard deviations by which a quality must hold.
const confidence = 1.0

// choice is the plan for one request with what is needed to count it.
type choice struct {
	plan cascade.Plan
	// rolled is the version whose place a rolling-in version took.
	rolled string
	// explore is true if the first answer is only rated.
	explore bool
	// keeps is true if the session's own version is used.
	keeps bool
}

// choose decides which versions a request tries.
func (r *Router) choose(req *Request) (choice, error) {
	if req.SessionVersion != "" && req.Policy.Allows(req.SessionVersion, true) && r.pool.Usable(req.SessionVersion) {
		return choice{plan: cascade.Plan{First: req.SessionVersion}, keeps: true}, nil
	}
	versions := r.candidates(req)
	if len(versions) == 0 {
		return choice{}, fault.New(fault.NotAllowed, "ask for a model of the template, or \"auto\"",
			"template %s allows no version of %q now", req.Policy.Template, req.Chat.Model)
	}
	settles := r.settles(req, versions)
	mix, ok := r.learner.choose(r.planKey(req, versions, settles), versions, r.goal(req, settles))
	if !ok {
		return choice{}, fault.New(fault.Unavailable, "start backend servers", "no version can be planned")
	}
	c := choice{plan: mix.Pick(r.random())}
	r.explore(req, versions, &c)
	r.rollIn(req, &c)
	return c, nil
}

func (r *Router) planKey(req *Request, versions []candidateOf, settles bool) planKey {
	ids := make([]string, len(versions))
	for i, v := range versions {
		ids[i] = v.version.ID
	}
	return planKey{
		template: req.Policy.Template, account: req.Policy.Account, class: req.Class.Name,
		revision: req.Policy.Revision, settle: settles, direct: req.Chat.Stream,
		versions: strings.Join(ids, ","), left: time.Until(req.Deadline).Truncate(planStep),
	}
}

func (r *Router) goal(req *Request, settles bool) cascade.Requirements {
	g := cascade.Requirements{QualityTarget: req.Class.QualityTarget, TimeLeft: time.Until(req.Deadline), Z: confidence, DirectOnly: req.Chat.Stream, LatencyCostPerSecond: req.Policy.Weights.LatencyCost}
	if settles {
		g.QualityTarget = req.Class.SettleTarget
	}
	return g
}

// settles reports whether the request takes a cheaper answer: it may, and servers are short.
func (r *Router) settles(req *Request, versions []candidateOf) bool {
	if !req.MaySettle || !req.Class.MaySettle {
		return false
	}
	for _, v := range versions {
		if waiting, free := r.pool.Pressure(v.version.ID); waiting > 0 || free < 1 {
			return true
		}
	}
	return false
}

// candidates returns the serving versions that the request may use, the cheapest first.
func (r *Router) candidates(req *Request) []candidateOf {
	var serving, rolling []candidateOf
	for _, v := range req.Policy.Versions {
		if !matches(req.Chat.Model, v) || !req.Policy.Allows(v.ID, false) || !r.pool.Usable(v.ID) {
			continue
		}
		c := candidateOf{version: v, latency: r.pool.Latency(v.ID)}
		switch {
		case r.evidence.Stopped(keyOf(req.Policy, v)):
		case v.State == template.RollingIn:
			rolling = append(rolling, c)
		default:
			serving = append(serving, c)
		}
	}
	if len(serving) == 0 && req.Chat.Model != autoModel {
		// A caller that names a rolling-in version itself gets it within its exposure.
		serving = slices.DeleteFunc(rolling, func(c candidateOf) bool { return !r.mayRollIn(req, c.version) })
	}
	slices.SortFunc(serving, func(a, b candidateOf) int {
		return cmp.Or(cmp.Compare(a.version.CompletionCost, b.version.CompletionCost), cmp.Compare(a.version.ID, b.version.ID))
	})
	return serving
}

// autoModel lets the router choose among all models.
const autoModel = "auto"

// matches reports whether a version is what the caller's model name asks for.
func matches(model string, v template.Version) bool {
	return model == "" || model == autoModel || model == v.Model || model == v.ID
}

func keyOf(p *template.Policy, v template.Version) evidence.Key {
	return evidence.Key{Template: p.Template, Version: v.ID, Trial: int32(v.Trial)}
}

// explore sends a few requests through a cheaper version whose answer is only rated.
func (r *Router) explore(req *Request, versions []candidateOf, c *choice) {
	if req.Chat.Stream || c.plan.Second != "" {
		return
	}
	for _, v := range versions {
		if v.version.ID == c.plan.First {
			return
		}
		share := 0.0
		r.learner.with(r.learned(req, v.version.ID), v.version.PriorQuality, func(e *cascade.Evidence) { share = cascade.ExplorationShare(e) })
		fits := 2*(v.latency+r.pool.Latency(c.plan.First)) < time.Until(req.Deadline)
		if fits && r.random() < share {
			c.plan = cascade.Shadow(v.version.ID, c.plan.First)
			c.explore = true
			return
		}
	}
}

// rollIn lets a rolling-in version take the place of the version that answers, within its exposure.
func (r *Router) rollIn(req *Request, c *choice) {
	for _, v := range req.Policy.Versions {
		if v.State != template.RollingIn || !matches(req.Chat.Model, v) || r.evidence.Stopped(keyOf(req.Policy, v)) {
			continue
		}
		if v.Replaces != "" && v.Replaces != c.plan.First && v.Replaces != c.plan.Second {
			continue
		}
		if !r.pool.Usable(v.ID) || r.random() >= v.Share || !r.mayRollIn(req, v) {
			continue
		}
		c.place(v)
		return
	}
}

// mayRollIn reports whether one more unrated answer of a version may go out.
func (r *Router) mayRollIn(req *Request, v template.Version) bool {
	return !r.stale() && r.evidence.Allows(keyOf(req.Policy, v), v.Exposure, req.Policy.Weights.Exposure)
}

// place puts a rolling-in version where the one it replaces stands.
func (c *choice) place(v template.Version) {
	if v.Replaces != "" && v.Replaces == c.plan.Second {
		c.rolled, c.plan.Second = c.plan.Second, v.ID
		return
	}
	c.rolled = c.plan.First
	c.plan = cascade.Plan{First: v.ID, Second: c.plan.Second, Threshold: c.plan.Threshold}
	c.explore = false
	if c.plan.Threshold > 1 {
		c.plan.Second = ""
	}
}

func (r *Router) learned(req *Request, version string) learned {
	return learned{template: req.Policy.Template, class: req.Class.Name, version: version}
}
