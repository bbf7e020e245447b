package processes

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/edge/caller"
	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/internal/standin/booking"
	"github.com/pollencourse/pollencourse/internal/standin/platform"
)

// requestLog records the results of each request ID, as its callers got them.
type requestLog struct {
	mu      sync.Mutex
	results map[string][]callResult
}

func newRequestLog() *requestLog { return &requestLog{results: map[string][]callResult{}} }

func (l *requestLog) add(r callResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[r.requestID] = append(l.results[r.requestID], r)
}

// requireAtMostOnce compares the executions at the booking servers with what callers were told: no request
// ran twice, every complete response belongs to a run, and a request whose callers all got "not run" did not run.
func (c *cluster) requireAtMostOnce(log *requestLog) {
	c.t.Helper()
	runs := c.bookingRuns()
	counts := map[string]int{}
	for id, results := range log.results {
		n := runs[id]
		require.LessOrEqual(c.t, n, 1, "request %s ran %d times", id, n)
		allNotRun := true
		for _, r := range results {
			if r.complete {
				counts["complete"]++
				require.Equal(c.t, 1, n, "request %s got a complete response but did not run", id)
			}
			allNotRun = allNotRun && !r.complete && r.outcome == fault.NotRun
		}
		if allNotRun {
			counts["notRun"]++
			require.Zero(c.t, n, "request %s ran but every response said not run: %s", id, results[0].body)
		}
		counts["ids"]++
		counts["runs"] += n
	}
	measured("bookings.ranTwice."+c.t.Name(), 0, fmt.Sprintf("of-%d-IDs-%d-executions-%d-refused-as-not-run", counts["ids"], counts["runs"], counts["notRun"]), "0")
}

// bookUntilOutcomeKnown retries a booking with the same ID at one daemon after another until its outcome is known.
func (c *cluster) bookUntilOutcomeKnown(log *requestLog, id string, firstDaemon int, maxRequests int) {
	for i := range maxRequests {
		r := c.sendBooking(c.daemons[(firstDaemon+i)%len(c.daemons)], id)
		log.add(r)
		if r.complete || r.errorKind == fault.OutcomeLost {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Kills daemons while they run bookings, and callers retry with the same ID at other daemons. A daemon killed
// between sending a booking and recording its outcome must not make the retry run it a second time.
func TestBookingsRunAtMostOnceWhileDaemonsAreKilled(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA, pwaniB), locations: []location{pwaniA, pwaniB, pwaniA, kaskaziniA}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	for _, addr := range c.world.Bookings {
		c.postControl("http://"+addr, "/control/faults", booking.Faults{ExecutionDelayMs: 5, ResponseDelayMs: 10})
	}
	log := newRequestLog()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for w := range 12 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				c.bookUntilOutcomeKnown(log, fmt.Sprintf("book-%d-%d", w, i), w+i, 6)
			}
		})
	}
	// Each daemon but the first is killed in the middle of the traffic and restarted.
	for round := range 9 {
		d := c.daemons[1+round%3]
		time.Sleep(150 * time.Millisecond)
		c.kill(d)
		time.Sleep(50 * time.Millisecond)
		c.launch(d)
	}
	close(stop)
	wg.Wait()
	c.requireAtMostOnce(log)
}

// Six concurrent requests with the same ID reach three daemons. The booking must run once, and a later
// request with this ID must get the recorded response.
func TestConcurrentRetriesAtOtherDaemonsRunOnce(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA, pwaniB), locations: []location{pwaniA, pwaniB, kaskaziniA}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	log := newRequestLog()
	for i := range 40 {
		id := fmt.Sprintf("race-%d", i)
		var wg sync.WaitGroup
		for n := range 6 {
			wg.Go(func() { log.add(c.sendBooking(c.daemons[n%3], id)) })
		}
		wg.Wait()
	}
	c.requireAtMostOnce(log)
	for id := range log.results {
		r := c.sendBooking(c.daemons[2], id)
		require.True(t, r.complete, "a later retry gets the recorded response: %s", r.body)
		require.Equal(t, "true", r.header.Get(caller.RecordedHeader))
	}
}

// A caller uses the ID of a completed booking for a request with another body. It must get a conflict instead
// of the recorded response, and nothing may run.
func TestAReusedRequestIDWithAnotherBodyIsRefused(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	require.True(t, c.sendBooking(c.daemons[0], "same").complete)
	r := c.send(c.daemons[0], "same", "/v1/services/bookings/deposits", []byte(`{"deposit":"other"}`))
	require.Equal(t, http.StatusConflict, r.statusCode)
	require.Equal(t, 1, c.bookingRuns()["same"])
}

// A booking server reads a request and closes the connection without a response. Neither the daemon nor its
// HTTP transport may send the request again, since the server may have executed it.
func TestABackEndThatClosesAfterReadingGetsTheRequestOnce(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniB}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	var mu sync.Mutex
	received := map[string]int{}
	address := startClosingServer(t, func(id string) {
		mu.Lock()
		defer mu.Unlock()
		received[id]++
	})
	// Leave only the closing server in the service.
	for id, addr := range c.world.Bookings {
		vm := c.vm(id)
		vm.Gone = vm.Serves[0] == "bookings"
		vm.Address = addr
		c.setVM(vm)
	}
	c.setVM(vmlist.VM{ID: "closing", Kind: vmlist.Service, Region: "pwani", AvailabilityZone: "pwani-a", Address: address, Serves: []string{"bookings"}})
	c.eventually(3*time.Second, "only the closing server is left", func() bool {
		r := c.sendBooking(c.daemons[0], fmt.Sprint("probe-", time.Now().UnixNano()))
		return r.errorKind == fault.OutcomeLost
	})
	for i := range 5 {
		id := fmt.Sprintf("closing-%d", i)
		for n := range 3 {
			r := c.sendBooking(c.daemons[n%2], id, caller.DeadlineHeader, "5s")
			require.False(t, r.complete)
			require.NotEqual(t, http.StatusOK, r.statusCode)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for id, n := range received {
		require.LessOrEqual(t, n, 1, "request %s was sent %d times to the server", id, n)
	}
	require.NotEmpty(t, received)
}

// startClosingServer starts a server that reports the ID of each request that it reads and closes the
// connection without a response. It returns the address of the server.
func startClosingServer(t *testing.T, received func(id string)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		received(r.Header.Get("Pollencourse-Request-Id"))
		panic(http.ErrAbortHandler)
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// The store applies one to three writes of intents but loses the responses, so that a daemon does not know
// whether its intent is stored. Every booking must run exactly once after retries at both daemons.
func TestLostStoreAnswersNeverRunABookingTwice(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniB}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	log := newRequestLog()
	for i := range 40 {
		c.postControl(c.world.PlatformURL, "/control/store", platform.Faults{LoseWriteResponses: 1 + i%3, LoseResponsesPrefix: "intents/"})
		id := fmt.Sprintf("lost-%d", i)
		c.bookUntilOutcomeKnown(log, id, i, 8)
	}
	c.postControl(c.world.PlatformURL, "/control/store", platform.Faults{})
	c.requireAtMostOnce(log)
	for id := range log.results {
		require.Equal(t, 1, c.bookingRuns()[id], "a booking whose store response was lost must run exactly once: %s", id)
	}
}

// The store goes down while a daemon stores the intent of a booking, so that the daemon can neither confirm nor
// read it back. A refused booking must be reported as "not run", must not have run, and must run exactly once
// when it is sent again after the outage.
func TestAStoreOutageRefusesBookingsAsNotRunAndReleasesThem(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniB}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	// The create of the intent takes effect but its response is lost; then the store is down for the read-back too.
	var ids []string
	for i := range 10 {
		id := fmt.Sprintf("outage-%d", i)
		ids = append(ids, id)
		c.postControl(c.world.PlatformURL, "/control/store", platform.Faults{LoseWriteResponses: 1, LoseResponsesPrefix: "intents/", DelayMs: 20})
		done := make(chan callResult)
		go func() { done <- c.sendBooking(c.daemons[0], id) }()
		time.Sleep(30 * time.Millisecond)
		c.postControl(c.world.PlatformURL, "/control/store", platform.Faults{Down: true})
		r := <-done
		if !r.complete {
			require.Equal(t, fault.NotRun, r.outcome, "%s", r.body)
			require.Zero(t, c.bookingRuns()[id])
		}
		c.postControl(c.world.PlatformURL, "/control/store", platform.Faults{})
	}
	for _, id := range ids {
		c.eventually(5*time.Second, "the booking runs once the store is back", func() bool { return c.sendBooking(c.daemons[1], id).complete })
		require.Equal(t, 1, c.bookingRuns()[id])
	}
}

// A daemon is paused with SIGSTOP while a booking server executes its request. Retries at another daemon must
// not run the booking again or report "not run"; they get the recorded response once the daemon resumes.
func TestAFrozenDaemonsBookingIsNotRunAgain(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniB}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	for _, addr := range c.world.Bookings {
		c.postControl("http://"+addr, "/control/faults", booking.Faults{ExecutionDelayMs: 400})
	}
	log := newRequestLog()
	done := make(chan callResult, 1)
	go func() { done <- c.sendBooking(c.daemons[0], "frozen") }()
	time.Sleep(200 * time.Millisecond)
	c.daemons[0].signal(syscall.SIGSTOP)
	for range 6 {
		r := c.sendBooking(c.daemons[1], "frozen", caller.DeadlineHeader, "2s")
		require.NotEqual(t, fault.NotRun, r.outcome, "the paused daemon may still run it: %s", r.body)
		log.add(r)
	}
	c.daemons[0].signal(syscall.SIGCONT)
	log.add(<-done)
	c.requireAtMostOnce(log)
	c.eventually(3*time.Second, "the other daemon returns the recorded response", func() bool { return c.sendBooking(c.daemons[1], "frozen").complete })
	require.Equal(t, 1, c.bookingRuns()["frozen"])
}

// No process listens at the addresses of the booking servers. The booking must be reported as "not run" and its
// intent released, so that it runs with the same ID once the servers are back.
func TestABookingWithoutAServerSaysThatItDidNotRun(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	unusedAddress := freeAddress(t, "127.0.0.1")
	for id := range c.world.Bookings {
		vm := c.vm(id)
		vm.Address = unusedAddress
		c.setVM(vm)
	}
	c.eventually(3*time.Second, "the daemon knows the addresses without a server", func() bool {
		r := c.sendBooking(c.daemons[0], fmt.Sprint("probe-", time.Now().UnixNano()))
		return r.outcome == fault.NotRun
	})
	r := c.sendBooking(c.daemons[0], "nowhere")
	require.Equal(t, fault.NotRun, r.outcome)
	for id, addr := range c.world.Bookings {
		vm := c.vm(id)
		vm.Address = addr
		c.setVM(vm)
	}
	c.eventually(10*time.Second, "the booking can run with the released ID", func() bool { return c.sendBooking(c.daemons[0], "nowhere").complete })
	require.Equal(t, 1, c.bookingRuns()["nowhere"])
}

// With withoutStore = run, a booking without a request ID runs during a store outage. One with a request ID must
// be refused as "not run", because without the store its retries could run it twice.
func TestBookingsRunWithoutTheStoreOnlyIfTheyHaveNoRequestID(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniB}})
	c.mustApplyTemplate("quotes", quotesTemplate("idempotent = false", "idempotent = false\nwithoutStore = run"), 0)
	c.postControl(c.world.PlatformURL, "/control/store", platform.Faults{Down: true})
	d := c.daemons[0]
	r := c.sendBooking(d, "with-an-id")
	require.Equal(t, fault.NotRun, r.outcome, "%s", r.body)
	require.Zero(t, c.bookingRuns()["with-an-id"])
	r = c.sendBooking(d, "")
	require.True(t, r.complete, "%s", r.body)
	require.Equal(t, 1, c.bookingRuns()[r.header.Get(caller.RequestIDHeader)])
}
