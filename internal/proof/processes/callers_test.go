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

// callResult is what a caller got for one request.
//
// complete means that the whole response arrived and reports success. A statusCode of 0 means that no
// response arrived or that it was truncated.
type callResult struct {
	requestID  string
	statusCode int
	complete   bool
	outcome    fault.Outcome
	errorKind  fault.Kind
	header     http.Header
	body       []byte
	sentAt     time.Time
	duration   time.Duration
}

// sendChat sends a model request to a daemon; header holds names and values in turn.
func (c *cluster) sendChat(d *daemonProcess, id string, stream bool, header ...string) callResult {
	body, _ := json.Marshal(map[string]any{
		"model": "auto", "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": "price " + id}},
	})
	r := c.send(d, id, "/v1/chat/completions", body, header...)
	if stream {
		r.complete = r.statusCode == http.StatusOK && strings.HasSuffix(string(r.body), "data: [DONE]\n\n")
	} else {
		r.complete = r.statusCode == http.StatusOK && json.Valid(r.body) && bytes.Contains(r.body, []byte(`"finish_reason":"stop"`))
	}
	return r
}

// sendBooking sends a request for the non-idempotent bookings service to a daemon.
func (c *cluster) sendBooking(d *daemonProcess, id string, header ...string) callResult {
	r := c.send(d, id, "/v1/services/bookings/deposits", fmt.Appendf(nil, `{"deposit":%q}`, id), header...)
	r.complete = r.statusCode == http.StatusOK && bytes.Contains(r.body, []byte(`"booked"`))
	return r
}

// send posts a request to a daemon's caller address; without an ID the daemon assigns one.
func (c *cluster) send(d *daemonProcess, requestID, path string, body []byte, header ...string) callResult {
	r := callResult{requestID: requestID, sentAt: time.Now(), outcome: fault.Unknown}
	req, err := http.NewRequest(http.MethodPost, "http://"+d.callerAddress+path, bytes.NewReader(body))
	if err != nil {
		return r
	}
	req.Header.Set("Authorization", "Bearer "+testAPIKey)
	if requestID != "" {
		req.Header.Set(caller.RequestIDHeader, requestID)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	// Without GetBody the transport of the test client cannot resend the request on its own.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	r.duration = time.Since(r.sentAt)
	if err != nil {
		if strings.Contains(err.Error(), "connection refused") {
			// Nothing was sent, so the request did not run.
			r.outcome = fault.NotRun
		}
		return r
	}
	defer resp.Body.Close()
	r.statusCode, r.header = resp.StatusCode, resp.Header
	r.body, err = io.ReadAll(resp.Body)
	r.duration = time.Since(r.sentAt)
	if err != nil {
		r.statusCode = 0
		return r
	}
	var envelope struct {
		Error struct {
			Outcome fault.Outcome `json:"outcome"`
			Type    fault.Kind    `json:"type"`
		} `json:"error"`
	}
	if json.Unmarshal(r.body, &envelope) == nil && envelope.Error.Outcome != "" {
		r.outcome, r.errorKind = envelope.Error.Outcome, envelope.Error.Type
	}
	return r
}

// bookingRuns returns how often each request ID was executed, summed over all booking servers.
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
