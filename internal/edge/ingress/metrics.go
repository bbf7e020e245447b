package ingress

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/route/forward"
)

// buckets are the bounds of the latency histogram.
var buckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)

// end is how a request ended, as counted.
type end struct {
	kind   string
	result string
}

type meters struct {
	requests tally.Counter
	latency  tally.Histogram
}

// ends holds the meters by kind of route and result.
type ends struct {
	mu sync.Mutex
	by map[end]meters
}

func (e *ends) of(scope tally.Scope, k end) meters {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.by[k]
	if !ok {
		s := scope.Tagged(map[string]string{"kind": k.kind, "result": k.result})
		m = meters{s.Counter("requests"), s.Histogram("request_latency", buckets)}
		if e.by == nil {
			e.by = map[end]meters{}
		}
		e.by[k] = m
	}
	return m
}

// finish counts a request's end.
func (s *Server) finish(req *forward.Request, arrived time.Time, err error) {
	k := end{kind: "none", result: "answered"}
	if req != nil && req.Route != nil {
		k.kind = string(req.Route.Kind)
	}
	if err != nil {
		k.result = string(fault.KindOf(err))
	}
	m := s.ends.of(s.cfg.Metrics, k)
	m.requests.Inc(1)
	m.latency.RecordDuration(time.Since(arrived))
}
