package caller

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// end is how a request ended.
type end struct {
	kind   string
	result string
}

// endMetrics are the metrics of one kind of end.
type endMetrics struct {
	requests tally.Counter
	latency  tally.Timer
}

// ends keeps the metrics of each end, since looking up a tagged scope is costly.
type ends struct {
	known sync.Map
}

func (e *ends) of(scope tally.Scope, key end) *endMetrics {
	if m, ok := e.known.Load(key); ok {
		return m.(*endMetrics)
	}
	tagged := scope.Tagged(map[string]string{"kind": key.kind, "result": key.result})
	m, _ := e.known.LoadOrStore(key, &endMetrics{tagged.Counter("requests"), tagged.Timer("latency")})
	return m.(*endMetrics)
}
