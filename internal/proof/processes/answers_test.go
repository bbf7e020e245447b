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

// faultEngines sets the switches of all engines, or of the first n by ID.
func (c *cluster) faultEngines(n int, f engine.Faults) {
	for i := range n {
		c.control("http://"+c.world.Engines[fmt.Sprintf("engine-%d", i+1)], "/control/faults", f)
	}
}

func TestCrossedLateCutAndStalledAnswersNeverReachACaller(t *testing.T) {
	for name, f := range map[string]engine.Faults{
		"crossed": {WrongRequestID: true},
		"cut":     {CloseAfterTokens: 3},
		"stalled": {StallAfterTokens: 3},
	} {
		t.Run(name, func(t *testing.T) {
			c := start(t, options{layout: smallLayout(pwaniA, pwaniB), places: []place{pwaniA, pwaniB}})
			c.mustPut("quotes", quotesTemplate(), 0)
			c.faultEngines(2, f)
			y := newTally()
			var wg sync.WaitGroup
			for w := range 6 {
				wg.Go(func() {
					for i := range 10 {
						y.add(c.ask(c.daemons[i%2], fmt.Sprintf("%s-%d-%d", name, w, i), w%2 == 0, caller.DeadlineHeader, "4s"))
					}
				})
			}
			wg.Wait()
			whole, plain, quiet := 0, 0, 0
			for _, replies := range y.replies {
				for _, r := range replies {
					switch {
					case r.whole:
						whole++
						require.NotContains(t, string(r.body), "chatcmpl-another-", "an answer to another request")
						require.Equal(t, 10, strings.Count(string(r.body), "fine")+strings.Count(string(r.body), "unclear"), "%s", r.body)
					case strings.Contains(string(r.body), `"error"`):
						plain++
					default:
						quiet++
					}
				}
			}
			t.Logf("%s: %d whole, %d plain errors, %d quiet ends", name, whole, plain, quiet)
			require.Zero(t, quiet, "an answer ended without an error and without its end mark")
			require.Greater(t, whole, 30)
		})
	}
}

func TestACutStreamIsResumedWhereTheEngineCan(t *testing.T) {
	l := smallLayout(pwaniA)
	l.Engines[0].Count = 1
	c := start(t, options{layout: l, places: []place{pwaniA}})
	c.mustPut("quotes", quotesTemplate(), 0)
	c.faultEngines(1, engine.Faults{CloseOnceAfterTokens: 4})
	for i := range 5 {
		r := c.ask(c.daemons[0], fmt.Sprintf("resume-%d", i), true)
		require.True(t, r.whole, "%s", r.body)
		require.Equal(t, 10, strings.Count(string(r.body), "fine")+strings.Count(string(r.body), "unclear"), "%s", r.body)
	}
}

func TestACallerThatGoesAwayCancelsItsRun(t *testing.T) {
	l := smallLayout(pwaniA)
	l.Engines[0].Count = 1
	l.Engines[0].Spec.InterTokenLatency = 50 * time.Millisecond
	l.Engines[0].Spec.Tokens = 200
	c := start(t, options{layout: l, places: []place{pwaniA}})
	c.mustPut("quotes", quotesTemplate(), 0)
	client := &http.Client{Timeout: 300 * time.Millisecond}
	old := c.client
	c.client = client
	r := c.ask(c.daemons[0], "gone", true)
	c.client = old
	require.False(t, r.whole)
	c.eventually(2*time.Second, "the engine stopped early", func() bool {
		runs := c.engineRuns()
		return len(runs) == 1 && !runs[0].Complete
	})
	c.eventually(5*time.Second, "what was streamed is billed", func() bool {
		got := c.charges().Charges
		return len(got) == 1 && got[0].Outcome == "cancelled"
	})
}

func TestBadRequestsGetTheirTypedError(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA}})
	c.mustPut("quotes", quotesTemplate(), 0)
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
			require.Equal(t, tc.status, r.status, "%s", r.body)
			require.EqualValues(t, tc.kind, r.kind)
			require.EqualValues(t, "notRun", r.outcome)
			require.Contains(t, string(r.body), `"remedy":"`)
		})
	}
}
