package processes

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/edge/caller"
	"github.com/pollencourse/pollencourse/internal/standin/engine"
)

// setEngineFaults sets the fault switches of the first n engines by ID.
func (c *cluster) setEngineFaults(n int, f engine.Faults) {
	for i := range n {
		c.postControl("http://"+c.world.Engines[fmt.Sprintf("engine-%d", i+1)], "/control/faults", f)
	}
}

// Two of four engines answer with the ID of another request (crossed), close the connection in the middle of an
// answer (cut) or stop sending in the middle of a stream (stalled). A caller must get the complete answer to its
// own request or an error, never the answer to another request or one that is truncated without an error.
func TestCrossedLateCutAndStalledAnswersNeverReachACaller(t *testing.T) {
	for name, f := range map[string]engine.Faults{
		"crossed": {WrongRequestID: true},
		"cut":     {CloseAfterTokens: 3},
		"stalled": {StallAfterTokens: 3},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, options{layout: smallLayout(pwaniA, pwaniB), locations: []location{pwaniA, pwaniB}})
			c.mustApplyTemplate("quotes", quotesTemplate(), 0)
			c.setEngineFaults(2, f)
			log := newRequestLog()
			var wg sync.WaitGroup
			for w := range 6 {
				wg.Go(func() {
					for i := range 10 {
						log.add(c.sendChat(c.daemons[i%2], fmt.Sprintf("%s-%d-%d", name, w, i), w%2 == 0, caller.DeadlineHeader, "4s"))
					}
				})
			}
			wg.Wait()
			complete, withError, silentlyTruncated := 0, 0, 0
			for _, results := range log.results {
				for _, r := range results {
					switch {
					case r.complete:
						complete++
						require.NotContains(t, string(r.body), "chatcmpl-another-", "the answer belongs to another request")
						require.Equal(t, 10, strings.Count(string(r.body), "fine")+strings.Count(string(r.body), "unclear"), "%s", r.body)
					case strings.Contains(string(r.body), `"error"`):
						withError++
					default:
						silentlyTruncated++
					}
				}
			}
			t.Logf("%s: %d complete, %d with an error, %d truncated without an error", name, complete, withError, silentlyTruncated)
			require.Zero(t, silentlyTruncated, "an answer was truncated without an error")
			require.Greater(t, complete, 30)
		})
	}
}

// The only engine closes the first connection of each stream after four tokens and can resume it. The caller
// must get a complete answer with each token once.
func TestATruncatedStreamIsResumedAtTheEngine(t *testing.T) {
	l := smallLayout(pwaniA)
	l.Engines[0].Count = 1
	c := startCluster(t, options{layout: l, locations: []location{pwaniA}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	c.setEngineFaults(1, engine.Faults{CloseOnceAfterTokens: 4})
	for i := range 5 {
		r := c.sendChat(c.daemons[0], fmt.Sprintf("resume-%d", i), true)
		require.True(t, r.complete, "%s", r.body)
		require.Equal(t, 10, strings.Count(string(r.body), "fine")+strings.Count(string(r.body), "unclear"), "%s", r.body)
	}
}

// The caller disconnects after 300 ms of a stream that takes 10 s. The run must be cancelled at the engine,
// which would otherwise generate the rest for nobody, and the tokens streamed so far must be charged.
func TestACallerThatDisconnectsCancelsItsRun(t *testing.T) {
	l := smallLayout(pwaniA)
	l.Engines[0].Count = 1
	l.Engines[0].Spec.InterTokenLatency = 50 * time.Millisecond
	l.Engines[0].Spec.Tokens = 200
	c := startCluster(t, options{layout: l, locations: []location{pwaniA}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	client := &http.Client{Timeout: 300 * time.Millisecond}
	defaultClient := c.client
	c.client = client
	r := c.sendChat(c.daemons[0], "gone", true)
	c.client = defaultClient
	require.False(t, r.complete)
	c.eventually(2*time.Second, "the engine stopped its run early", func() bool {
		runs := c.engineRuns()
		return len(runs) == 1 && !runs[0].Complete
	})
	c.eventually(5*time.Second, "the tokens streamed so far are charged", func() bool {
		stored := c.charges().Charges
		return len(stored) == 1 && stored[0].Outcome == "cancelled"
	})
}

// Each malformed, unauthorized or unknown request must be refused with its status and kind of error, with the
// outcome "not run" and with a remedy.
func TestBadRequestsGetTheirTypedError(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	d := c.daemons[0]
	chatBody := `{"model":"auto","messages":[{"role":"user","content":"x"}]}`
	for _, tc := range []struct {
		name, path, body string
		header           []string
		status           int
		kind             string
	}{
		{"no JSON", "/v1/chat/completions", "{", nil, 400, "badRequest"},
		{"no messages", "/v1/chat/completions", `{"model":"auto"}`, nil, 400, "badRequest"},
		{"wrong type", "/v1/chat/completions", `{"model":7,"messages":[]}`, nil, 400, "badRequest"},
		{"unknown model", "/v1/chat/completions", strings.Replace(chatBody, "auto", "gpt", 1), nil, 403, "notAllowed"},
		{"unknown class", "/v1/chat/completions", chatBody, []string{caller.ClassHeader, "zzz"}, 400, "badRequest"},
		{"bad deadline", "/v1/chat/completions", chatBody, []string{caller.DeadlineHeader, "soon"}, 400, "badRequest"},
		{"bad priority", "/v1/chat/completions", chatBody, []string{caller.PriorityHeader, "-1"}, 400, "badRequest"},
		{"bad session", "/v1/chat/completions", chatBody, []string{caller.SessionHeader, "a.b"}, 400, "badRequest"},
		{"bad request ID", "/v1/chat/completions", chatBody, []string{caller.RequestIDHeader, "has space"}, 400, "badRequest"},
		{"too large", "/v1/chat/completions", strings.Repeat("x", 5<<20), nil, 413, "tooLarge"},
		{"unknown service", "/v1/services/none/x", "{}", nil, 403, "notAllowed"},
		{"unknown path", "/v2/none", "{}", nil, 404, "notFound"},
		{"wrong key", "/v1/chat/completions", chatBody, []string{"Authorization", "Bearer nope"}, 401, "unauthorized"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := c.send(d, "bad-"+strings.ReplaceAll(tc.name, " ", "-"), tc.path, []byte(tc.body), tc.header...)
			require.Equal(t, tc.status, r.statusCode, "%s", r.body)
			require.EqualValues(t, tc.kind, r.errorKind)
			require.EqualValues(t, "notRun", r.outcome)
			require.Contains(t, string(r.body), `"remedy":"`)
		})
	}
}
