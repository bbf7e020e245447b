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

// qualityStdDevs is the number of standard deviations by which a plan's mean quality must exceed the target.
const qualityStdDevs = 1.0

// choice is the plan for one request and how it was chosen.
type choice struct {
	plan cascade.Plan
	// replaced is the version of the plan that a rolling-in version has replaced; empty if none has.
	replaced string
	// firstOnlyRated is true if the first version's answer is rated and then discarded.
	firstOnlyRated bool
	// usesSessionVersion is true if the session keeps its version.
	usesSessionVersion bool
}

// choose returns the plan of versions for a request.
func (r *Router) choose(req *Request) (choice, error) {
	if req.SessionVersion != "" && req.Policy.Allows(req.SessionVersion, true) && r.pool.Usable(req.SessionVersion) {
		return choice{plan: cascade.Plan{First: req.SessionVersion}, usesSessionVersion: true}, nil
	}
	versions := r.candidates(req)
	if len(versions) == 0 {
		return choice{}, fault.New(fault.NotAllowed, "ask for a model of the template, or \"auto\"",
			"template %s allows no version of %q now", req.Policy.Template, req.Chat.Model)
	}
	settles := r.settles(req, versions)
	mix, ok := r.learner.choose(r.planKey(req, versions, settles), versions, r.planRequirements(req, settles))
	if !ok {
		return choice{}, fault.New(fault.Unavailable, "start backend servers", "no plan of versions is possible")
	}
	c := choice{plan: mix.Pick(r.random())}
	r.explore(req, versions, &c)
	r.rollIn(req, &c)
	return c, nil
}

func (r *Router) planKey(req *Request, versions []candidateVersion, settles bool) planKey {
	ids := make([]string, len(versions))
	for i, v := range versions {
		ids[i] = v.version.ID
	}
	return planKey{
		template: req.Policy.Template, account: req.Policy.Account, class: req.Class.Name,
		revision: req.Policy.Revision, settling: settles, direct: req.Chat.Stream,
		versions: strings.Join(ids, ","), timeLeft: time.Until(req.Deadline).Truncate(planTimeStep),
	}
}

func (r *Router) planRequirements(req *Request, settles bool) cascade.Requirements {
	requirements := cascade.Requirements{QualityTarget: req.Class.QualityTarget, TimeLeft: time.Until(req.Deadline), Z: qualityStdDevs, DirectOnly: req.Chat.Stream, LatencyCostPerSecond: req.Policy.Weights.LatencyCost}
	if settles {
		requirements.QualityTarget = req.Class.SettleTarget
	}
	return requirements
}

// settles reports whether the request settles for a cheaper answer: it may do so, and capacity is short.
func (r *Router) settles(req *Request, versions []candidateVersion) bool {
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

// candidates returns the serving versions that the request may use, cheapest first.
func (r *Router) candidates(req *Request) []candidateVersion {
	var serving, rolling []candidateVersion
	for _, v := range req.Policy.Versions {
		if !matches(req.Chat.Model, v) || !req.Policy.Allows(v.ID, false) || !r.pool.Usable(v.ID) {
			continue
		}
		c := candidateVersion{version: v, latency: r.pool.Latency(v.ID)}
		switch {
		case r.evidence.Stopped(keyOf(req.Policy, v)):
		case v.State == template.RollingIn:
			rolling = append(rolling, c)
		default:
			serving = append(serving, c)
		}
	}
	if len(serving) == 0 && req.Chat.Model != autoModel {
		// A caller that names a rolling-in version gets it within its exposure.
		serving = slices.DeleteFunc(rolling, func(c candidateVersion) bool { return !r.mayRollIn(req, c.version) })
	}
	slices.SortFunc(serving, func(a, b candidateVersion) int {
		return cmp.Or(cmp.Compare(a.version.CompletionCost, b.version.CompletionCost), cmp.Compare(a.version.ID, b.version.ID))
	})
	return serving
}

// autoModel lets the router choose among all models.
const autoModel = "auto"

// matches reports whether a version fits the caller's model name.
func matches(model string, v template.Version) bool {
	return model == "" || model == autoModel || model == v.Model || model == v.ID
}

func keyOf(p *template.Policy, v template.Version) evidence.Key {
	return evidence.Key{Template: p.Template, Version: v.ID, Trial: int32(v.Trial)}
}

// explore sends a small share of requests to a cheaper version first, whose answer is only rated.
func (r *Router) explore(req *Request, versions []candidateVersion, c *choice) {
	if req.Chat.Stream || c.plan.Second != "" {
		return
	}
	for _, v := range versions {
		if v.version.ID == c.plan.First {
			return
		}
		share := 0.0
		r.learner.withEvidence(r.statsKeyOf(req, v.version.ID), v.version.PriorQuality, func(e *cascade.Evidence) { share = cascade.ExplorationShare(e) })
		fits := 2*(v.latency+r.pool.Latency(c.plan.First)) < time.Until(req.Deadline)
		if fits && r.random() < share {
			c.plan = cascade.Shadow(v.version.ID, c.plan.First)
			c.firstOnlyRated = true
			return
		}
	}
}

// rollIn replaces a version of the plan by one that is rolling in, within its exposure.
func (r *Router) rollIn(req *Request, c *choice) {
	for _, v := range req.Policy.Versions {
		if v.State != template.RollingIn || !matches(req.Chat.Model, v) || r.evidence.Stopped(keyOf(req.Policy, v)) {
			continue
		}
		if v.Replaces != "" && v.Replaces != c.plan.First && v.Replaces != c.plan.Second {
			continue
		}
		if !r.pool.Usable(v.ID) || r.random() >= v.MaxShare || !r.mayRollIn(req, v) {
			continue
		}
		c.replaceWith(v)
		return
	}
}

// mayRollIn reports whether the configuration is up to date and the exposure of a rolling-in version allows one more
// unrated answer.
func (r *Router) mayRollIn(req *Request, v template.Version) bool {
	return !r.stale() && r.evidence.Allows(keyOf(req.Policy, v), v.Exposure, req.Policy.Weights.Exposure)
}

// replaceWith puts a rolling-in version into the plan: in place of the second version if it replaces that one, otherwise
// of the first. A plan that only rates its first answer becomes a direct plan, since its Threshold above 1 would discard
// the answer of the rolling-in version.
func (c *choice) replaceWith(v template.Version) {
	if v.Replaces != "" && v.Replaces == c.plan.Second {
		c.replaced, c.plan.Second = c.plan.Second, v.ID
		return
	}
	c.replaced = c.plan.First
	c.plan = cascade.Plan{First: v.ID, Second: c.plan.Second, Threshold: c.plan.Threshold}
	c.firstOnlyRated = false
	if c.plan.Threshold > 1 {
		c.plan.Second = ""
	}
}

func (r *Router) statsKeyOf(req *Request, version string) statsKey {
	return statsKey{template: req.Policy.Template, class: req.Class.Name, version: version}
}
