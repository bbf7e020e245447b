package place

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxOthersAge is the age above which the load of other daemons says nothing about the present one.
	maxOthersAge = 3 * time.Second
	// waitingDecay and inFlightDecay are the times in which what is left of a server's difference from the mean falls to
	// 1/e. The work queued at a server turns over in a few hundred milliseconds: with a decay in 1 s, all daemons send to
	// the server whose queue was short and the share of late responses grew from 3% to 69% with sums 2 s old (place's
	// model, one server slow). Streams in flight last for seconds; the calls of plain services end with their first chunk
	// and count as queued work.
	waitingDecay  = 300 * time.Millisecond
	inFlightDecay = time.Second
	// loadWeight is the share of an attempt's own work that is added for a server with the mean number of attempts in
	// flight, and proportionally more or less for others.
	loadWeight = 0.5
	// uncertaintyRatio is the share of an attempt's own work by which scores may differ, besides the penalty for one
	// attempt in flight, and still count as equal while others' sums are in use, so that daemons with the same sums do not
	// choose the same server.
	uncertaintyRatio = 0.1
	// maxCachedLoadRatio is the multiple of the mean load up to which cached prompt parts count for a server; one attempt
	// more is allowed, since the mean may be below one.
	maxCachedLoadRatio = 1.25
	// maxOthersInFlight and maxOthersWaiting bound what is believed of the others' load at one server.
	maxOthersInFlight = 10_000
	maxOthersWaiting  = 5 * time.Minute
)

// ServerLoad is what attempts hold at one server: their number, and the expected time of those without a first chunk.
type ServerLoad struct {
	InFlight int           `json:"running"`
	Waiting  time.Duration `json:"waiting"`
}

// clamped bounds numbers that can't be true.
func (l ServerLoad) clamped() ServerLoad {
	return ServerLoad{min(max(0, l.InFlight), maxOthersInFlight), min(max(0, l.Waiting), maxOthersWaiting)}
}

// Load returns the load of this daemon's own attempts, by the ID of each server that has any.
func (c *Chooser) Load(time.Time) map[string]ServerLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]ServerLoad{}
	for id, s := range c.servers {
		if s.inFlight > 0 {
			out[id] = ServerLoad{s.inFlight, time.Duration(s.waitingSeconds * float64(time.Second))}
		}
	}
	return out
}

// UpdateOthers replaces what is known of the load that the other daemons of the zone have at its servers. The loads are
// sums of reports whose mean age is age.
func (c *Chooser) UpdateOthers(loads map[string]ServerLoad, age time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.othersAt = now.Add(-max(0, age))
	for id, s := range c.servers {
		l := loads[id].clamped()
		s.othersInFlight, s.othersWaitingSeconds = float64(l.InFlight), l.Waiting.Seconds()
	}
}

// estimate is what one choice assumes of the candidates' load; without others' sums it knows own attempts only.
type estimate struct {
	// secondsPerUnit is the time of a token or plain call of the query's class.
	secondsPerUnit float64
	// known is true if the sums of other daemons are young enough to be used.
	known bool
	// waitingShare and inFlightShare are the shares of the differences from the mean that are left.
	waitingShare, inFlightShare float64
	// meanWaiting and meanInFlight are the means of the others' load over the candidates of this zone.
	meanWaiting, meanInFlight float64
	// meanLoad is the mean of all attempts in flight over the same candidates.
	meanLoad float64
}

// estimateLoad looks the candidates up, in c.found, and estimates the load that the other daemons have at them.
func (c *Chooser) estimateLoad(query *Query, now time.Time) estimate {
	e := estimate{secondsPerUnit: c.secondsPerUnit(query)}
	c.found = c.found[:0]
	var waiting, inFlight, own, servers float64
	for i := range query.Candidates {
		s := c.server(&query.Candidates[i])
		c.found = append(c.found, s)
		if query.Candidates[i].AvailabilityZone == c.zone {
			waiting += s.othersWaitingSeconds
			inFlight += s.othersInFlight
			own += float64(s.inFlight)
			servers++
		}
	}
	age := now.Sub(c.othersAt)
	if servers == 0 || age > maxOthersAge {
		return e
	}
	e.known = true
	e.waitingShare = math.Exp(-float64(age) / float64(waitingDecay))
	e.inFlightShare = e.waitingShare
	if query.PromptTokens > 0 {
		e.inFlightShare = math.Exp(-float64(age) / float64(inFlightDecay))
	}
	e.meanWaiting, e.meanInFlight, e.meanLoad = waiting/servers, inFlight/servers, (inFlight+own)/servers
	return e
}

// waiting returns the expected time of the own attempts at a server without a first chunk, in seconds, and what the
// others' attempts there differ from the mean. The mean itself is part of the learned slowdown. Nothing is known of the
// others' load in another zone; it is taken as the mean of this one, so that not knowing it attracts no attempts.
func (e *estimate) waiting(s *server, local bool) float64 {
	if !e.known || !local {
		return s.waitingSeconds
	}
	return math.Max(0, s.waitingSeconds+(s.othersWaitingSeconds-e.meanWaiting)*e.waitingShare)
}

// inFlight returns the expected number of all attempts at a server, under the same assumptions.
func (e *estimate) inFlight(s *server, local bool) float64 {
	switch {
	case !e.known:
		return float64(s.inFlight)
	case !local:
		return math.Max(e.meanLoad, float64(s.inFlight)+e.meanInFlight)
	default:
		return float64(s.inFlight) + e.meanInFlight + (s.othersInFlight-e.meanInFlight)*e.inFlightShare
	}
}

// loadPenalty returns the seconds that are added to an attempt's work for the attempts in flight at a server; work is
// that of the attempt without anything cached.
func (e *estimate) loadPenalty(inFlight, work float64) float64 {
	if !e.known {
		return 0
	}
	return loadWeight * work * inFlight / math.Max(1, e.meanLoad)
}

// cacheCounts reports whether prompt parts cached at a server with so many attempts in flight may attract another one.
func (e *estimate) cacheCounts(inFlight float64) bool {
	return !e.known || inFlight <= maxCachedLoadRatio*e.meanLoad+1
}

// pick returns the index of the candidate for an attempt; -1 if there is none. While others' sums are in use, it picks
// at random among the servers of the zone whose scores can't be told apart.
func (c *Chooser) pick(query *Query, load *estimate, preferred int, now time.Time) int {
	c.scores = c.scores[:0]
	for i := range query.Candidates {
		score := math.Inf(1)
		if c.usable(query, &query.Candidates[i], now) {
			score = c.score(query, load, i, i == preferred, now)
		}
		c.scores = append(c.scores, score)
	}
	best, lowest := -1, math.Inf(1)
	offset := rand.IntN(max(1, len(c.scores))) // spreads attempts over servers with equal scores
	for n := range c.scores {
		if i := (n + offset) % len(c.scores); c.scores[i] < lowest {
			best, lowest = i, c.scores[i]
		}
	}
	if best < 0 || !load.known || query.Candidates[best].AvailabilityZone != c.zone {
		return best
	}
	slots := float64(max(1, query.Candidates[best].Slots))
	limit := lowest + uncertaintyRatio*load.fullWork(query, best) + query.TargetLatency.Seconds()*occupancyPenaltyRatio/slots
	equal := 0
	for i, score := range c.scores {
		if score > limit || query.Candidates[i].AvailabilityZone != c.zone {
			continue
		}
		if equal++; rand.IntN(equal) == 0 {
			best = i
		}
	}
	return best
}

// fullWork returns the seconds that an attempt takes at a candidate that has nothing cached.
func (e *estimate) fullWork(query *Query, i int) float64 {
	if query.PromptTokens == 0 {
		return e.secondsPerUnit / float64(max(1, query.Candidates[i].Slots))
	}
	return e.secondsPerUnit * float64(query.PromptTokens)
}
