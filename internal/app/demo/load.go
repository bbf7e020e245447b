package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/edge/caller"
	"github.com/pollencourse/pollencourse/internal/standin/platform"
)

// load sends requests as callers do and records their results.
type load struct {
	fleet  *fleet
	opts   Options
	client *http.Client

	mu            sync.Mutex
	latencyMicros *hdrhistogram.Histogram
	// completed tells, by request ID, whether the response was complete.
	completed     map[string]bool
	outcomes      map[fault.Outcome]int
	completeChats int
	poorAnswers   int
	finished      atomic.Int64
}

const (
	maxLatencyMicros         = int64(60_000_000)
	latencySignificantDigits = 3
	microsPerMillisecond     = 1000.0
)

func newLoad(f *fleet, opts Options) *load {
	return &load{
		fleet: f, opts: opts, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: opts.Concurrency}},
		latencyMicros: hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits),
		completed:     map[string]bool{}, outcomes: map[fault.Outcome]int{},
	}
}

// run sends all requests with a fixed number in flight.
func (l *load) run(ctx context.Context, progress io.Writer) {
	jobs := make(chan int)
	var wg sync.WaitGroup
	for range l.opts.Concurrency {
		wg.Go(func() {
			for i := range jobs {
				l.sendOne(ctx, i)
				l.finished.Add(1)
			}
		})
	}
	total := l.opts.Requests + l.opts.Bookings
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for i := 0; i < total && ctx.Err() == nil; {
		select {
		case jobs <- i:
			i++
		case <-ticker.C:
			_, _ = fmt.Fprintf(progress, "%d of %d requests\n", l.finished.Load(), total)
		}
	}
	close(jobs)
	wg.Wait()
}

// sendOne sends request number i: a booking at regular intervals, otherwise a chat request.
func (l *load) sendOne(ctx context.Context, i int) {
	interval := max(1, (l.opts.Requests+l.opts.Bookings)/max(1, l.opts.Bookings))
	if l.opts.Bookings > 0 && i%interval == 0 {
		l.sendBooking(ctx, i)
		return
	}
	l.sendChat(ctx, i)
}

func (l *load) sendChat(ctx context.Context, i int) {
	stream := i%4 == 0
	body, _ := json.Marshal(struct {
		Model    string        `json:"model"`
		Stream   bool          `json:"stream"`
		Messages []chatMessage `json:"messages"`
	}{"auto", stream, []chatMessage{
		{"system", fmt.Sprintf("You price events for host %d.", i%20)},
		{"user", fmt.Sprintf("Draft quote %d for %d guests.", i, 20+i%200)},
	}})
	class := "draft"
	if i%3 == 0 {
		class = "tag"
	}
	l.send(ctx, i, "/v1/chat/completions", class, body, func(data []byte) bool {
		if stream {
			return strings.HasSuffix(string(data), "data: [DONE]\n\n")
		}
		return json.Valid(data) && bytes.Contains(data, []byte(`"finish_reason"`))
	})
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (l *load) sendBooking(ctx context.Context, i int) {
	body := fmt.Appendf(nil, `{"deposit":%d}`, i)
	l.send(ctx, i, "/v1/services/bookings/deposits", "", body, func(data []byte) bool {
		return bytes.Contains(data, []byte(`"booked"`))
	})
}

func (l *load) send(ctx context.Context, i int, path, class string, body []byte, isComplete func([]byte) bool) {
	id := uuid.NewString()
	address := l.fleet.callerAddresses[i%len(l.fleet.callerAddresses)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	key := webKey
	if i%5 == 0 {
		key = phoneKey
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(caller.RequestIDHeader, id)
	if class != "" {
		req.Header.Set(caller.ClassHeader, class)
	}
	began := time.Now()
	resp, err := l.client.Do(req)
	if err != nil {
		l.recordResult(id, false, fault.Unknown, 0)
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	ok := err == nil && resp.StatusCode == http.StatusOK && isComplete(data)
	if ok && class != "" {
		l.recordQuality(!bytes.Contains(data, []byte(platform.PoorAnswerMarker)))
	}
	l.recordResult(id, ok, outcomeOf(data), time.Since(began))
}

// outcomeOf returns the outcome that the body of an error response names, or fault.Unknown.
func outcomeOf(data []byte) fault.Outcome {
	var in struct {
		Error struct {
			Outcome fault.Outcome `json:"outcome"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &in) != nil || in.Error.Outcome == "" {
		return fault.Unknown
	}
	return in.Error.Outcome
}

func (l *load) recordQuality(good bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completeChats++
	if !good {
		l.poorAnswers++
	}
}

func (l *load) recordResult(id string, ok bool, outcome fault.Outcome, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completed[id] = ok
	if !ok {
		l.outcomes[outcome]++
		return
	}
	_ = l.latencyMicros.RecordValue(took.Microseconds())
}
