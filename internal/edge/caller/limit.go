package caller

import (
	"sync"

	"golang.org/x/time/rate"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Demand knows the demand of accounts and this daemon's part of their limits.
type Demand interface {
	Arrive(account string)
	Limit(account string, limit float64) float64
}

// limits holds a token bucket for each account that has a limit.
type limits struct {
	demand Demand

	mu      sync.Mutex
	buckets map[string]*rate.Limiter
}

// burstSeconds is how many seconds' worth of a limit may come at once.
const burstSeconds = 1

// take counts a request and refuses it if the account is over its limit.
func (l *limits) take(p *template.Policy) error {
	l.demand.Arrive(p.Account)
	if p.RequestsPerSecond == 0 {
		return nil
	}
	part := l.demand.Limit(p.Account, p.RequestsPerSecond)
	if l.bucket(p.Account, part).Allow() {
		return nil
	}
	return fault.New(fault.OverLimit, "send fewer requests a second, or ask the operators for a higher limit",
		"account %s is over its limit of %g requests a second", p.Account, p.RequestsPerSecond)
}

func (l *limits) bucket(account string, perSecond float64) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[account]
	if b == nil {
		b = rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
		l.buckets[account] = b
	}
	if b.Limit() != rate.Limit(perSecond) {
		b.SetLimit(rate.Limit(perSecond))
		b.SetBurst(burst(perSecond))
	}
	return b
}

func burst(perSecond float64) int { return max(1, int(perSecond*burstSeconds)) }
