package forward

import (
	"slices"
	"time"

	"github.com/pollencourse/pollencourse/internal/back/registry"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/place"
)

// reserve chooses a server and makes a reservation there, first among the eligible servers, then among the fallback ones.
func (h *handler) reserve(model string) (registry.Server, *place.Reservation, error) {
	if a := h.admitted; a != nil {
		h.admitted = nil
		return a.server, a.reservation, nil
	}
	req := h.req
	first, fallback := h.eligible()
	if server, reservation := h.reserveAmong(first, model); reservation != nil {
		return server, reservation, nil
	}
	if req.Session == "" { // a session stays on its version
		if server, reservation := h.reserveAmong(fallback, model); reservation != nil {
			return server, reservation, nil
		}
	}
	if err := h.coldError(first, fallback); err != nil {
		return registry.Server{}, nil, err
	}
	if len(h.avoid) == 0 {
		return registry.Server{}, nil, h.newError(fault.Unavailable, "no backend server of %s accepts requests at present", req.Service)
	}
	return registry.Server{}, nil, h.newError(fault.Unavailable, "every backend server of %s failed this request", req.Service)
}

// eligible returns the servers that may take the request, and those to use if all of them fail.
func (h *handler) eligible() (first, fallback []registry.Server) {
	req := h.req
	first, fallback = h.router.versions.Eligible(req.Service, req.Session, req.ID, h.router.servers.View().ServersOf(req.Service))
	first, fallback = h.permitted(first), h.permitted(fallback)
	if len(first) == 0 {
		return fallback, nil
	}
	return first, fallback
}

// permitted returns the servers to which the request may be sent for where they are.
func (h *handler) permitted(servers []registry.Server) []registry.Server {
	evacuated := h.router.opts.Evacuated
	if !h.req.Regions.Restricted() && evacuated == nil {
		return servers
	}
	var out []registry.Server
	for _, s := range servers {
		if h.req.Regions.Allow(h.router.opts.ZoneRegion[s.AvailabilityZone]) && (evacuated == nil || !evacuated(s.AvailabilityZone)) {
			out = append(out, s)
		}
	}
	return out
}

// reserveAmong makes a reservation at the best of the given servers; it returns a nil reservation if none is usable.
func (h *handler) reserveAmong(servers []registry.Server, model string) (registry.Server, *place.Reservation) {
	servers = h.withAllowance(servers)
	for {
		reservation := h.router.chooser.Choose(h.query(servers, model), time.Now())
		if reservation == nil {
			return registry.Server{}, nil
		}
		chosen := func(s registry.Server) bool { return s.ID == reservation.ServerID }
		if h.takeAllowance(reservation) {
			return servers[slices.IndexFunc(servers, chosen)], reservation
		}
		servers = slices.DeleteFunc(slices.Clone(servers), chosen)
	}
}

// query describes an attempt with a model to the chooser, with the given servers as candidates.
func (h *handler) query(servers []registry.Server, model string) place.Query {
	req := h.req
	query := place.Query{
		Candidates: make([]place.Candidate, len(servers)), Class: req.Service + " " + model, PromptParts: req.Prompt.Parts,
		PromptTokens: req.Prompt.InputTokens, TargetLatency: req.Route.TargetLatency, Avoid: h.avoid,
	}
	for i, s := range servers {
		query.Candidates[i] = h.router.candidate(s)
	}
	return query
}

func (r *Router) candidate(s registry.Server) place.Candidate {
	return place.Candidate{
		ID: s.ID, Incarnation: s.Born, AvailabilityZone: s.AvailabilityZone,
		Region: r.opts.ZoneRegion[s.AvailabilityZone], Slots: s.Slots,
	}
}

// expectedWithin reports whether the first chunk of a model's response is expected within d of the request's arrival.
func (h *handler) expectedWithin(model string, d time.Duration) bool {
	first, _ := h.eligible()
	expected, ok := h.router.chooser.ExpectedTimeToFirstChunk(h.query(h.withAllowance(first), model), time.Now())
	return ok && time.Since(h.req.Arrived)+expected < d
}
