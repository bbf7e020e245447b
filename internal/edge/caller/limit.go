package caller

import (
	"sync"

	"golang.org/x/time/rate"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Demand counts the requests of accounts and splits their limits between the daemons.
type Demand interface {
	// Arrive counts a request of the account.
	Arrive(account string)
	// Limit returns this daemon's share of an account's limit, in requests per second.
	Limit(account string, limit float64) float64
}

// rateLimits holds a token bucket for each account that has a limit.
type rateLimits struct {
	demand Demand

	mu      sync.Mutex
	buckets map[string]*rate.Limiter
}

// burstSeconds sizes the burst of a bucket: this many seconds' worth of requests may arrive at once.
const burstSeconds = 1

// takeToken counts a request and refuses it if the account exceeds its limit.
func (l *rateLimits) takeToken(p *template.Policy) error {
	l.demand.Arrive(p.Account)
	if p.RequestsPerSecond == 0 {
		return nil
	}
	share := l.demand.Limit(p.Account, p.RequestsPerSecond)
	if l.bucket(p.Account, share).Allow() {
		return nil
	}
	return fault.New(fault.OverLimit, "send fewer requests per second, or ask the operators for a higher limit",
		"account %s exceeds its limit of %g requests per second", p.Account, p.RequestsPerSecond)
}

func (l *rateLimits) bucket(account string, perSecond float64) *rate.Limiter {
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
