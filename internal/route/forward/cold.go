package forward

import (
	"net/http"
	"slices"
	"time"

	"github.com/pollencourse/pollencourse/internal/back/registry"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/place"
)

// ColdServers limits the requests to servers that have started a moment ago.
type ColdServers interface {
	// Limits reports whether the servers of a service can be cold.
	Limits(service string) bool
	// Wait returns the time until a request may be sent to a server; 0 if it may be sent now.
	Wait(server string, now time.Time) time.Duration
	// Take takes the allowance for one request; false if another request was faster.
	Take(server string, now time.Time) bool
	// Failed records that a server was not reached.
	Failed(server string, now time.Time)
	// Succeeded records a response of a server to an attempt that began at startedAt.
	Succeeded(server string, startedAt, now time.Time)
}

// cold returns the limits of the request's service; nil if its servers are never cold.
func (h *handler) cold() ColdServers {
	if c := h.router.opts.Cold; c != nil && c.Limits(h.req.Service) {
		return c
	}
	return nil
}

// withAllowance returns the servers to which a request may be sent now.
func (h *handler) withAllowance(servers []registry.Server) []registry.Server {
	cold := h.cold()
	if cold == nil {
		return servers
	}
	now := time.Now()
	without := func(s registry.Server) bool { return cold.Wait(s.ID, now) > 0 }
	if !slices.ContainsFunc(servers, without) {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), without)
}

// takeAllowance takes the allowance of the chosen server, or gives the reservation back.
func (h *handler) takeAllowance(r *place.Reservation) bool {
	cold, now := h.cold(), time.Now()
	if cold == nil || cold.Take(r.ServerID, now) {
		return true
	}
	h.router.chooser.Release(r, place.Ignored, now)
	return false
}

// coldWait returns the time until the first allowance of a server that the request does not avoid; 0 if none of them lacks
// one.
func (h *handler) coldWait(servers []registry.Server) time.Duration {
	cold := h.cold()
	if cold == nil {
		return 0
	}
	now, shortest := time.Now(), time.Duration(0)
	for _, s := range servers {
		if slices.Contains(h.avoid, s.ID) {
			continue
		}
		if d := cold.Wait(s.ID, now); d > 0 && (shortest == 0 || d < shortest) {
			shortest = d
		}
	}
	return shortest
}

// coldError returns the error of a request that only cold servers without allowance could take, given that no other server
// is usable; nil if there is no such server.
func (h *handler) coldError(first, fallback []registry.Server) error {
	if h.req.Session == "" {
		first = slices.Concat(first, fallback)
	}
	wait := h.coldWait(first)
	if wait == 0 {
		return nil
	}
	h.router.counts.refusedCold.Add(1)
	e := fault.As(h.newError(fault.Overloaded, "every usable backend server of %s is cold and gets no more requests at present", h.req.Service))
	return e.WithRetryAfter(wait)
}

// noteReached records that the attempt's server answered. A response with status 421 comes from another server at its
// address.
func (a *attempt) noteReached(resp *Response) {
	if cold := a.handler.cold(); cold != nil && resp.Status != http.StatusMisdirectedRequest {
		cold.Succeeded(a.server.ID, a.startedAt, time.Now())
	}
}

// noteUnreached records that the attempt's server was not reached: it may have restarted. A connection that broke says
// less, since servers also reset single connections; one that has ended is not reached by the next attempt.
func (a *attempt) noteUnreached(f *Failure) {
	if cold := a.handler.cold(); cold != nil && f.Reason == ConnectFailed {
		cold.Failed(a.server.ID, time.Now())
	}
}
