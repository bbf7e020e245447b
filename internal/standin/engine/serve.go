package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pollencourse/pollencourse/internal/standin/platform"
)

// request holds the fields of a chat completion request that the stand-in reads.
type request struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	Logprobs  bool   `json:"logprobs"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// Handler serves the engine's API and, under /control/, its faults, executions and orders.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("GET /v1/load", e.handleLoad)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("POST /control/faults", e.handleFaults)
	mux.HandleFunc("GET /control/runs", e.handleRuns)
	mux.HandleFunc("GET /control/orders", e.handleOrders)
	return mux
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

func (e *Engine) handleRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Runs()) }

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
		Slots   int `json:"slots"`
	}{e.running, e.waiting, e.spec.Slots})
}

func (e *Engine) setLoadHeader(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("X-Engine-Load", fmt.Sprintf("running=%d,waiting=%d,slots=%d", e.running, e.waiting, e.spec.Slots))
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Messages) == 0 {
		http.Error(w, `{"error":{"message":"bad request"}}`, http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	quality, ok := e.quality(req.Model)
	if f.Refuse || !ok {
		w.Header().Set("X-Engine-Leaving", "true")
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		http.Error(w, `{"error":{"message":"request refused"}}`, http.StatusServiceUnavailable)
		return
	}
	if !e.acquireSlot(r.Context()) {
		return
	}
	defer e.releaseSlot()
	e.setLoadHeader(w)
	a := e.newAnswer(r, req, quality, f)
	defer e.record(a)
	e.wait(r.Context(), e.timeToFirstToken(req)+time.Duration(f.FirstTokenDelayMs)*time.Millisecond)
	w.Header().Set("X-Request-Id", a.responseID)
	if req.Stream {
		a.writeStream(r.Context(), w)
		return
	}
	a.writeBody(r.Context(), w)
}

func (e *Engine) acquireSlot(ctx context.Context) bool {
	e.mu.Lock()
	e.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
		e.mu.Lock()
		e.running++
		e.mu.Unlock()
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	<-e.slots
}

// cachedPrefixFactor scales the time to the first token if the prefix is cached.
const cachedPrefixFactor = 0.4

func (e *Engine) timeToFirstToken(req request) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache.touch(req.Model + req.Messages[0].Content) {
		return time.Duration(float64(e.spec.TimeToFirstToken) * cachedPrefixFactor)
	}
	return e.spec.TimeToFirstToken
}

// interTokenLatency grows with the number of running requests, up to twice the spec's.
func (e *Engine) interTokenLatency() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(e.spec.InterTokenLatency) * (1 + float64(e.running)/float64(e.spec.Slots)))
}

func (e *Engine) wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (e *Engine) record(a *answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, Run{Attempt: a.attempt, Version: a.req.Model, At: a.start, Complete: a.complete, Good: a.good})
}

// answer is the answer to one request while it is written.
type answer struct {
	engine  *Engine
	req     request
	faults  Faults
	attempt string
	// responseID is the request ID in the response; it differs from attempt under WrongRequestID.
	responseID string
	prompt     string
	good       bool
	words      []string
	start      time.Time
	complete   bool
	// skipChunks is the number of chunks that the receiver has from an earlier connection.
	skipChunks int
}

func (e *Engine) newAnswer(r *http.Request, req request, quality float64, f Faults) *answer {
	a := &answer{engine: e, req: req, faults: f, start: time.Now()}
	a.attempt = r.Header.Get("X-Request-Id")
	a.responseID = a.attempt
	a.skipChunks, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if f.WrongRequestID {
		a.responseID = "another-" + a.attempt
	}
	a.prompt = req.Messages[len(req.Messages)-1].Content
	a.good = Good(a.prompt, quality)
	n := e.spec.Tokens
	if req.MaxTokens > 0 && req.MaxTokens < n {
		n = req.MaxTokens
	}
	word := "fine"
	if !a.good {
		word = platform.PoorAnswerMarker
	}
	a.words = make([]string, n)
	for i := range a.words {
		a.words[i] = word + " "
	}
	return a
}

func (a *answer) id() string { return "chatcmpl-" + a.responseID }

func (a *answer) usage() string {
	prompt := len(strings.Fields(a.prompt))
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, prompt, len(a.words), prompt+len(a.words))
}

// writeBody writes the answer as one JSON body; with CloseAfterTokens set it closes the connection after half of it.
func (a *answer) writeBody(ctx context.Context, w http.ResponseWriter) {
	for range a.words {
		a.engine.wait(ctx, a.engine.interTokenLatency())
	}
	if ctx.Err() != nil {
		return
	}
	content, _ := json.Marshal(strings.Join(a.words, ""))
	logprobs := "null"
	if a.req.Logprobs {
		p := math.Log(confidence(a.prompt, a.req.Model, a.good))
		logprobs = fmt.Sprintf(`{"content":[{"token":"x","logprob":%.4f,"bytes":null,"top_logprobs":[]}]}`, p)
	}
	body := fmt.Sprintf(`{"id":%q,"object":"chat.completion","created":%d,"model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%s},"logprobs":%s,"finish_reason":"stop"}],"usage":%s}`,
		a.id(), a.start.Unix(), a.req.Model, content, logprobs, a.usage())
	w.Header().Set("Content-Type", "application/json")
	if a.faults.CloseAfterTokens > 0 {
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write([]byte(body[:len(body)/2]))
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(body))
	a.complete = true
}

// writeStream writes the answer as server-sent events.
func (a *answer) writeStream(ctx context.Context, w http.ResponseWriter) {
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	head := fmt.Sprintf(`data: {"id":%q,"object":"chat.completion.chunk","created":%d,"model":%q,"choices":[`, a.id(), a.start.Unix(), a.req.Model)
	for i, word := range a.words[min(a.skipChunks, len(a.words)):] {
		if a.injectFault(ctx, i+a.skipChunks) {
			return
		}
		if _, err := fmt.Fprintf(w, "%s{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", head, word); err != nil {
			return
		}
		if a.engine.spec.InterTokenLatency > 0 || i == 0 {
			_ = rc.Flush()
			a.engine.wait(ctx, a.engine.interTokenLatency())
		}
	}
	_, _ = fmt.Fprintf(w, "%s{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", head)
	if a.req.StreamOptions.IncludeUsage {
		_, _ = fmt.Fprintf(w, "%s],\"usage\":%s}\n\n", head, a.usage())
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	a.complete = err == nil && ctx.Err() == nil
}

// injectFault closes the connection or stalls if a fault is due before chunk i; it returns true after a stall.
func (a *answer) injectFault(ctx context.Context, i int) bool {
	f := a.faults
	if f.CloseOnceAfterTokens > 0 && a.skipChunks == 0 && i >= f.CloseOnceAfterTokens || f.CloseAfterTokens > 0 && i >= f.CloseAfterTokens {
		panic(http.ErrAbortHandler)
	}
	if f.StallAfterTokens > 0 && i >= f.StallAfterTokens {
		<-ctx.Done()
		return true
	}
	return false
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
