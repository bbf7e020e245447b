package trial

import (
	"time"

	"github.com/pollencourse/pollencourse/internal/decide/rollout"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// recentWindowRounds is the number of latest rounds whose responses are also evaluated by themselves.
const recentWindowRounds = 8

// serviceRollout is an order with the counts of its roll-out. Callers of its methods hold Service.mu.
type serviceRollout struct {
	// order has the state in force, stored is the state that the store holds; they differ after a restore of the store.
	order  Order
	stored State
	// lost is true while a restored store has no order of this roll-out, which stays in force until it is written again.
	lost      bool
	startedAt time.Time
	ownCounts routeCounts
	// times are the old version's chunk times, by which responses and streams are judged.
	times classTimes
	// targetStreams are the streams of the target while it had little load, in the order in which they were judged.
	targetStreams []targetStream
	// oldInFlight is the number of this daemon's attempts in flight at servers of other versions.
	oldInFlight int64
	// worse is true once any daemon has found the target worse than the old version.
	worse bool
	// stateDueSince is when the stored state was first seen to differ from the desired one; zero while they are equal.
	stateDueSince time.Time
	// lastWriteAt is when this daemon last started to write the state.
	lastWriteAt time.Time
	// recentFleetCounts holds the fleet's counts at the latest rounds, oldest first.
	recentFleetCounts []routeCounts
	fleetCounts       routeCounts
	// fleetOldInFlight is the number of the fleet's attempts in flight at servers of other versions.
	fleetOldInFlight int64
	// held are the sessions that stay on the old version in the first half.
	held heldSessions
	// targetServers and otherServers are the numbers of servers of the target and of other versions.
	targetServers, otherServers int
}

func newRollout(o Order, now time.Time) *serviceRollout {
	return &serviceRollout{
		order: o, stored: o.State, startedAt: now, ownCounts: routeCounts{}, times: newClassTimes(), fleetCounts: routeCounts{},
		held: newHeldSessions(),
	}
}

func (r *serviceRollout) elapsed(now time.Time) time.Duration { return now.Sub(r.startedAt) }

func (r *serviceRollout) ramp(firstHalfShare float64) rollout.Ramp {
	return rollout.Ramp{Duration: r.order.Duration, FirstShare: firstHalfShare}
}

// sessionsMayMove reports whether sessions may move to the target version.
func (r *serviceRollout) sessionsMayMove(now time.Time, firstHalfShare float64) bool {
	return r.ramp(firstHalfShare).SessionsMayMove(r.elapsed(now))
}

// holdSessions holds the sessions that use the old version and that the share would move to the target.
func (r *serviceRollout) holdSessions(sessions *recentSessions, now time.Time, firstHalfShare float64) {
	if r.sessionsMayMove(now, firstHalfShare) {
		r.held = newHeldSessions()
		return
	}
	for h, u := range sessions.onOtherVersion(r.order.Service, r.order.Target, now) {
		if sessionPosition(r.order, u.id) < firstHalfShare {
			r.held.own[h] = true
		}
	}
}

// countResponse counts a response as good or bad; a far too slow one counts as bad. See [Service.Judge] for the
// parameters.
func (r *serviceRollout) countResponse(target bool, route, class string, bad bool, chunkTime time.Duration) {
	if !bad && chunkTime > 0 {
		bad = r.times.isBad(class, chunkTime)
	}
	r.ownCounts.addResult(route, target, bad)
}

// targetStream is the speed of a stream of the target.
type targetStream struct {
	route, class string
	chunkTime    time.Duration
}

// maxTargetStreams bounds the streams by which the target's speed is judged; the latest ones are kept.
const maxTargetStreams = 1000

func (r *serviceRollout) addTargetStream(st targetStream) {
	r.targetStreams = append(r.targetStreams, st)
	if len(r.targetStreams) > maxTargetStreams {
		r.targetStreams = r.targetStreams[1:]
	}
}

// countSpeeds counts the target's streams as fast or slow. It counts all of them again, since the first ones end before
// enough is known of the old version's.
func (r *serviceRollout) countSpeeds() {
	for route, c := range r.ownCounts {
		c.Speeds = rollout.Responses{}
		r.ownCounts[route] = c
	}
	limits := map[string]time.Duration{}
	for _, st := range r.targetStreams {
		limit, cached := limits[st.class]
		if !cached {
			if l, ok := r.times.slowAbove(st.class); ok {
				limit = l
			}
			limits[st.class] = limit
		}
		if limit > 0 {
			r.ownCounts.addSpeed(st.route, st.chunkTime > limit)
		}
	}
}

// bothServe reports whether the old version still takes new sessions. Later it is idle, and its times say nothing about
// those of the new one under load.
func (r *serviceRollout) bothServe(now time.Time, firstHalfShare float64) bool {
	return r.ramp(firstHalfShare).Share(r.elapsed(now)) < 1
}

// maxLoadRatio bounds the load of the target's servers, as a fraction of that of the other servers, up to which they
// have little load.
const maxLoadRatio = 0.5

// targetHasLittleLoad reports whether a server of the target gets far fewer sessions than one of the old version.
func (r *serviceRollout) targetHasLittleLoad(now time.Time, firstHalfShare float64) bool {
	share := r.ramp(firstHalfShare).Share(r.elapsed(now))
	return share*float64(r.otherServers) <= maxLoadRatio*(1-share)*float64(r.targetServers)
}

func (r *serviceRollout) countsToProto(now time.Time) *peerpb.ServiceTrial {
	return &peerpb.ServiceTrial{
		Service: r.order.Service, Target: r.order.Target, Revision: r.order.Created, ElapsedMs: r.elapsed(now).Milliseconds(),
		Worse: r.worse, Routes: r.ownCounts.toProto(), OldInFlight: r.oldInFlight, HeldSessions: r.held.toProto(),
	}
}

func (r *serviceRollout) timesToProto() *peerpb.ServiceTrial {
	return &peerpb.ServiceTrial{Service: r.order.Service, Target: r.order.Target, Revision: r.order.Created, ClassTimes: r.times.toProto()}
}

// evaluateFleet adds up the fleet's counts and decides whether the target is worse.
func (r *serviceRollout) evaluateFleet(others []*peerpb.ServiceTrial) {
	r.fleetCounts = routeCounts{}
	r.fleetCounts.merge(r.ownCounts.toProto())
	r.fleetOldInFlight = r.oldInFlight
	for _, o := range others {
		r.fleetCounts.merge(o.GetRoutes())
		r.fleetOldInFlight += o.GetOldInFlight()
		r.worse = r.worse || o.GetWorse()
	}
	earlier := routeCounts{}
	if len(r.recentFleetCounts) > 0 {
		earlier = r.recentFleetCounts[0]
	}
	r.worse = r.worse || rollout.Regressed(r.fleetCounts.resultsSince(routeCounts{}), r.fleetCounts.resultsSince(earlier)) ||
		rollout.Slower(r.fleetCounts.speeds())
	r.recentFleetCounts = append(r.recentFleetCounts, r.fleetCounts)
	if len(r.recentFleetCounts) > recentWindowRounds {
		r.recentFleetCounts = r.recentFleetCounts[1:]
	}
}

// writeIsDue reports whether the daemon of a rank should write a state now, if the store does not hold it.
func (r *serviceRollout) writeIsDue(want State, rank int, now time.Time) bool {
	if want == r.stored || r.lost {
		r.stateDueSince = time.Time{}
		return false
	}
	if r.stateDueSince.IsZero() {
		r.stateDueSince = now
	}
	if now.Sub(r.stateDueSince) < time.Duration(rank)*takeoverDelay || now.Sub(r.lastWriteAt) < minWriteInterval {
		return false
	}
	r.lastWriteAt = now
	return true
}

// desiredState returns the state that the store should hold.
func (r *serviceRollout) desiredState(now time.Time, firstHalfShare float64) State {
	switch {
	case r.order.finished():
		return r.order.State
	case r.worse:
		return RolledBack
	case r.ramp(firstHalfShare).MayComplete(r.elapsed(now), r.fleetOldInFlight == 0):
		return Completed
	default:
		return Running
	}
}
