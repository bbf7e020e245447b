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

// tally collects the replies to each request ID.
type tally struct {
	mu      sync.Mutex
	replies map[string][]reply
}

func newTally() *tally { return &tally{replies: map[string][]reply{}} }

func (y *tally) add(r reply) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.replies[r.id] = append(y.replies[r.id], r)
}

// requireAtMostOnce checks executions against what callers were told.
func (c *cluster) requireAtMostOnce(y *tally) {
	c.t.Helper()
	runs := c.bookingRuns()
	counts := map[string]int{}
	for id, replies := range y.replies {
		n := runs[id]
		require.LessOrEqual(c.t, n, 1, "request %s ran %d times", id, n)
		allNotRun := true
		for _, r := range replies {
			if r.whole {
				counts["whole"]++
				require.Equal(c.t, 1, n, "request %s was answered but did not run", id)
			}
			allNotRun = allNotRun && !r.whole && r.outcome == fault.NotRun
		}
		if allNotRun {
			counts["notRun"]++
			require.Zero(c.t, n, "request %s ran but every answer said not run: %s", id, replies[0].body)
		}
		counts["ids"]++
		counts["runs"] += n
	}
	measured("bookings.ranTwice."+c.t.Name(), 0, fmt.Sprintf("of-%d-IDs-%d-executions-%d-refused-as-not-run", counts["ids"], counts["runs"], counts["notRun"]), "0")
}

// bookUntilKnown repeats a booking with its ID at one daemon after another until the outcome is known.
func (c *cluster) bookUntilKnown(y *tally, id string, first int, tries int) {
	for i := range tries {
		r := c.book(c.daemons[(first+i)%len(c.daemons)], id)
		y.add(r)
		if r.whole || r.kind == fault.OutcomeLost {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestBookingsRunAtMostOnceWhileDaemonsAreKilled(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA, pwaniB), places: []place{pwaniA, pwaniB, pwaniA, kaskaziniA}})
	c.mustPut("quotes", quotesTemplate(), 0)
	for _, addr := range c.world.Bookings {
		c.control("http://"+addr, "/control/faults", booking.Faults{ExecutionDelayMs: 5, ResponseDelayMs: 10})
	}
	y := newTally()
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
				c.bookUntilKnown(y, fmt.Sprintf("book-%d-%d", w, i), w+i, 6)
			}
		})
	}
	// Each daemon but the first is killed in the middle of the traffic and replaced.
	for round := range 9 {
		d := c.daemons[1+round%3]
		time.Sleep(150 * time.Millisecond)
		c.kill(d)
		time.Sleep(50 * time.Millisecond)
		c.launch(d)
	}
	close(stop)
	wg.Wait()
	c.requireAtMostOnce(y)
}

func TestConcurrentRetriesAtOtherDaemonsRunOnce(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA, pwaniB), places: []place{pwaniA, pwaniB, kaskaziniA}})
	c.mustPut("quotes", quotesTemplate(), 0)
	y := newTally()
	for i := range 40 {
		id := fmt.Sprintf("race-%d", i)
		var wg sync.WaitGroup
		for n := range 6 {
			wg.Go(func() { y.add(c.book(c.daemons[n%3], id)) })
		}
		wg.Wait()
	}
	c.requireAtMostOnce(y)
	for id := range y.replies {
		r := c.book(c.daemons[2], id)
		require.True(t, r.whole, "a later retry gets the recorded answer: %s", r.body)
		require.Equal(t, "true", r.header.Get(caller.RecordedHeader))
	}
}

func TestARequestIDIsNotTakenForAnotherRequest(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA}})
	c.mustPut("quotes", quotesTemplate(), 0)
	require.True(t, c.book(c.daemons[0], "same").whole)
	r := c.send(c.daemons[0], "same", "/v1/services/bookings/deposits", []byte(`{"deposit":"other"}`))
	require.Equal(t, http.StatusConflict, r.status)
	require.Equal(t, 1, c.bookingRuns()["same"])
}

func TestABackEndThatClosesAfterReadingGetsTheRequestOnce(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniB}})
	c.mustPut("quotes", quotesTemplate(), 0)
	var mu sync.Mutex
	received := map[string]int{}
	address := closingServer(t, func(id string) {
		mu.Lock()
		defer mu.Unlock()
		received[id]++
	})
	// Only the closing server stays in the service.
	for id, addr := range c.world.Bookings {
		vm := c.vm(id)
		vm.Gone = vm.Serves[0] == "bookings"
		vm.Address = addr
		c.setVM(vm)
	}
	c.setVM(vmlist.VM{ID: "closing", Kind: vmlist.Service, Region: "pwani", AvailabilityZone: "pwani-a", Address: address, Serves: []string{"bookings"}})
	c.eventually(3*time.Second, "only the closing server is left", func() bool {
		r := c.book(c.daemons[0], fmt.Sprint("probe-", time.Now().UnixNano()))
		return r.kind == fault.OutcomeLost
	})
	for i := range 5 {
		id := fmt.Sprintf("closing-%d", i)
		for n := range 3 {
			r := c.book(c.daemons[n%2], id, caller.DeadlineHeader, "5s")
			require.False(t, r.whole)
			require.NotEqual(t, http.StatusOK, r.status)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for id, n := range received {
		require.LessOrEqual(t, n, 1, "request %s came %d times over the wire", id, n)
	}
	require.NotEmpty(t, received)
}

// closingServer reads a request's head and closes the connection; it answers the first request of
// each connection with keep-alive, so that a transport which keeps connections would resend.
func closingServer(t *testing.T, seen func(id string)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		seen(r.Header.Get("Pollencourse-Request-Id"))
		panic(http.ErrAbortHandler)
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

func TestLostStoreAnswersNeverRunABookingTwice(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniB}})
	c.mustPut("quotes", quotesTemplate(), 0)
	y := newTally()
	for i := range 40 {
		c.control(c.world.PlatformURL, "/control/store", platform.Faults{LoseWriteResponses: 1 + i%3, LoseResponsesPrefix: "intents/"})
		id := fmt.Sprintf("lost-%d", i)
		c.bookUntilKnown(y, id, i, 8)
	}
	c.control(c.world.PlatformURL, "/control/store", platform.Faults{})
	c.requireAtMostOnce(y)
	for id := range y.replies {
		require.Equal(t, 1, c.bookingRuns()[id], "a booking with a lost store answer still runs in the end: %s", id)
	}
}

func TestAStoreOutageRefusesBookingsTruthfullyAndReleasesThem(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniB}})
	c.mustPut("quotes", quotesTemplate(), 0)
	// The first creates take effect and lose their answer, then the store is gone for the read-back too.
	var ids []string
	for i := range 10 {
		id := fmt.Sprintf("outage-%d", i)
		ids = append(ids, id)
		c.control(c.world.PlatformURL, "/control/store", platform.Faults{LoseWriteResponses: 1, LoseResponsesPrefix: "intents/", DelayMs: 20})
		done := make(chan reply)
		go func() { done <- c.book(c.daemons[0], id) }()
		time.Sleep(30 * time.Millisecond)
		c.control(c.world.PlatformURL, "/control/store", platform.Faults{Down: true})
		r := <-done
		if !r.whole {
			require.Equal(t, fault.NotRun, r.outcome, "%s", r.body)
			require.Zero(t, c.bookingRuns()[id])
		}
		c.control(c.world.PlatformURL, "/control/store", platform.Faults{})
	}
	for _, id := range ids {
		c.eventually(5*time.Second, "the booking runs once the store is back", func() bool { return c.book(c.daemons[1], id).whole })
		require.Equal(t, 1, c.bookingRuns()[id])
	}
}

func TestAFrozenDaemonsBookingIsNotRunAgain(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniB}})
	c.mustPut("quotes", quotesTemplate(), 0)
	for _, addr := range c.world.Bookings {
		c.control("http://"+addr, "/control/faults", booking.Faults{ExecutionDelayMs: 400})
	}
	y := newTally()
	done := make(chan reply, 1)
	go func() { done <- c.book(c.daemons[0], "frozen") }()
	time.Sleep(200 * time.Millisecond)
	c.daemons[0].signal(syscall.SIGSTOP)
	for range 6 {
		r := c.book(c.daemons[1], "frozen", caller.DeadlineHeader, "2s")
		require.NotEqual(t, fault.NotRun, r.outcome, "it may run: %s", r.body)
		y.add(r)
	}
	c.daemons[0].signal(syscall.SIGCONT)
	y.add(<-done)
	c.requireAtMostOnce(y)
	c.eventually(3*time.Second, "the recorded answer is given at the other daemon", func() bool { return c.book(c.daemons[1], "frozen").whole })
	require.Equal(t, 1, c.bookingRuns()["frozen"])
}

func TestABookingWithoutAServerSaysThatItDidNotRun(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA}})
	c.mustPut("quotes", quotesTemplate(), 0)
	dead := freeAddress(t, "127.0.0.1")
	for id := range c.world.Bookings {
		vm := c.vm(id)
		vm.Address = dead
		c.setVM(vm)
	}
	c.eventually(3*time.Second, "the daemon knows the dead addresses", func() bool {
		r := c.book(c.daemons[0], fmt.Sprint("probe-", time.Now().UnixNano()))
		return r.outcome == fault.NotRun
	})
	r := c.book(c.daemons[0], "nowhere")
	require.Equal(t, fault.NotRun, r.outcome)
	for id, addr := range c.world.Bookings {
		vm := c.vm(id)
		vm.Address = addr
		c.setVM(vm)
	}
	c.eventually(10*time.Second, "the released ID can run", func() bool { return c.book(c.daemons[0], "nowhere").whole })
	require.Equal(t, 1, c.bookingRuns()["nowhere"])
}

func TestATemplateMayRunCallsWithoutTheStoreOnlyForCallersWithoutAnID(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniB}})
	c.mustPut("quotes", quotesTemplate("idempotent = false", "idempotent = false\nwithoutStore = run"), 0)
	c.control(c.world.PlatformURL, "/control/store", platform.Faults{Down: true})
	d := c.daemons[0]
	r := c.book(d, "with-an-id")
	require.Equal(t, fault.NotRun, r.outcome, "%s", r.body)
	require.Zero(t, c.bookingRuns()["with-an-id"])
	r = c.book(d, "")
	require.True(t, r.whole, "%s", r.body)
	require.Equal(t, 1, c.bookingRuns()[r.header.Get(caller.RequestIDHeader)])
}
