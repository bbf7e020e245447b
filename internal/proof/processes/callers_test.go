package processes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/edge/caller"
	"github.com/pollencourse/pollencourse/internal/standin/engine"
)

// reply is what a caller got for one request.
type reply struct {
	id      string
	status  int
	whole   bool
	outcome fault.Outcome
	kind    fault.Kind
	header  http.Header
	body    []byte
	at      time.Time
	took    time.Duration
}

// ask sends a model request to a daemon.
func (c *cluster) ask(d *daemonProc, id string, stream bool, header ...string) reply {
	body, _ := json.Marshal(map[string]any{
		"model": "auto", "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": "price " + id}},
	})
	r := c.send(d, id, "/v1/chat/completions", body, header...)
	if stream {
		r.whole = r.status == http.StatusOK && strings.HasSuffix(string(r.body), "data: [DONE]\n\n")
	} else {
		r.whole = r.status == http.StatusOK && json.Valid(r.body) && bytes.Contains(r.body, []byte(`"finish_reason":"stop"`))
	}
	return r
}

// book sends a non-idempotent request to a daemon.
func (c *cluster) book(d *daemonProc, id string, header ...string) reply {
	r := c.send(d, id, "/v1/services/bookings/deposits", fmt.Appendf(nil, `{"deposit":%q}`, id), header...)
	r.whole = r.status == http.StatusOK && bytes.Contains(r.body, []byte(`"booked"`))
	return r
}

func (c *cluster) send(d *daemonProc, id, path string, body []byte, header ...string) reply {
	r := reply{id: id, at: time.Now(), outcome: fault.Unknown}
	req, err := http.NewRequest(http.MethodPost, "http://"+d.caller+path, bytes.NewReader(body))
	if err != nil {
		return r
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	if id != "" {
		req.Header.Set(caller.RequestIDHeader, id)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	// A caller that gets no connection knows that its request did not run.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	r.took = time.Since(r.at)
	if err != nil {
		if strings.Contains(err.Error(), "connection refused") {
			r.outcome = fault.NotRun
		}
		return r
	}
	defer resp.Body.Close()
	r.status, r.header = resp.StatusCode, resp.Header
	r.body, err = io.ReadAll(resp.Body)
	r.took = time.Since(r.at)
	if err != nil {
		r.status = 0
		return r
	}
	var in struct {
		Error struct {
			Outcome fault.Outcome `json:"outcome"`
			Type    fault.Kind    `json:"type"`
		} `json:"error"`
	}
	if json.Unmarshal(r.body, &in) == nil && in.Error.Outcome != "" {
		r.outcome, r.kind = in.Error.Outcome, in.Error.Type
	}
	return r
}

// bookingRuns sums how often each request ID was executed over all booking servers.
func (c *cluster) bookingRuns() map[string]int {
	out := map[string]int{}
	for _, addr := range c.world.Bookings {
		var runs map[string]int
		if c.getJSON("http://"+addr+"/control/runs", &runs) == nil {
			for id, n := range runs {
				out[id] += n
			}
		}
	}
	return out
}

// engineRuns returns the runs of all engines.
func (c *cluster) engineRuns() []engine.Run {
	var out []engine.Run
	for _, addr := range c.world.Engines {
		var runs []engine.Run
		if c.getJSON("http://"+addr+"/control/runs", &runs) == nil {
			out = append(out, runs...)
		}
	}
	return out
}
