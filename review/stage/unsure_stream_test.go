package stage

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// playUnsureStream sends streams that may not be resumed on a route with models of several sizes. With the disruption, the
// smallest model is unsure of its answers. The rule is broken if a request runs more than once.
func playUnsureStream(s *site, trouble bool) (verdict, error) {
	const requests, events = 60, 8
	confidence := map[string]int{"m0": 90, "m1": 90, "m2": 95}
	if trouble {
		confidence["m0"] = 20
	}
	answer := func(c net.Conn, r *http.Request) {
		model := r.Header.Get("X-Model")
		s.notef("%s runs with model %s", r.Header.Get("X-Request-Id"), model)
		time.Sleep(30 * time.Millisecond)
		beginStream(c, r, fmt.Sprintf("X-Confidence: %d\r\n", confidence[model]))
		for i := 1; i <= events; i++ {
			if writeEvent(c, i) != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		endStream(c)
	}
	var servers []*server
	for i := range 3 {
		srv, err := s.newServer(i, "quote-writer", 48, answer)
		if err != nil {
			return failed, err
		}
		servers = append(servers, srv)
	}
	s.configure(route("draft", "streaming", "quote-writer", map[string]any{"sizes": models(), "targetLatencyMs": 4000, "targetGapMs": 1000}))
	if err := s.start(2); err != nil {
		return failed, err
	}
	answered, twice := 0, 0
	for i := range requests {
		whole, runs := s.askUnsure(s.daemons[i%len(s.daemons)], servers, fmt.Sprintf("req-%04d", i), events)
		if whole {
			answered++
		}
		if runs > 1 {
			twice++
		}
	}
	s.notef("%d requests, %d answered whole, %d ran more than once", requests, answered, twice)
	switch {
	case answered < requests/2:
		return failed, errNoReply
	case twice > 0:
		return broken, nil
	default:
		return held, nil
	}
}

// askUnsure sends one stream's request and returns whether its answer was whole and how often it ran.
func (s *site) askUnsure(d *daemon, servers []*server, id string, events int) (whole bool, runs int) {
	got := sendOnce(d, request{
		method: http.MethodPost, path: "/draft/a", id: id, key: ordinary, deadline: 10 * time.Second,
		fields: "X-Model: *\r\nX-Token-Usage: 600,80\r\nX-Prompt-Prefix: 5c1e07a2:400,91bd3f06:200\r\n",
	})
	for _, srv := range servers {
		runs += srv.runsOf(id)
	}
	s.notef("%s answered with %d, whole %t, last event %d; it ran %d times", id, got.status, got.whole, lastEvent(got.body), runs)
	return got.status == http.StatusOK && got.whole && lastEvent(got.body) == events, runs
}
