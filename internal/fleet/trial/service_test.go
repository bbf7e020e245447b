package trial

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/back/registry"
	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

// fakeFleet is a fleet of daemons that share one table and one store; states holds what was written to the store, and
// writers the daemon of each attempt to write.
type fakeFleet struct {
	table    *relay.Table
	services []*Service
	ids      []string
	dead     map[string]bool

	mu      sync.Mutex
	states  []State
	writers []string
	// failingWrites is the number of next writes that fail without being stored.
	failingWrites int
}

// fakeGossip publishes to the shared table.
type fakeGossip struct{ f *fakeFleet }

func (g fakeGossip) Fleet() *relay.Table { return g.f.table }
func (fakeGossip) MarkFrequent(string)   {}
func (g fakeGossip) PublishOwn(key string, m proto.Message) error {
	body, err := proto.Marshal(m)
	old, _ := g.f.table.Get(key)
	g.f.table.Apply(relay.Record{Key: key, Version: old.Version + 1, Body: body})
	return err
}

func (f *fakeFleet) Live() []member.Member {
	var out []member.Member
	for _, id := range f.ids {
		if !f.dead[id] {
			out = append(out, member.Member{Node: peer.Node{ID: id}})
		}
	}
	return out
}

// fakeStore writes to the fleet's store as the daemon id.
type fakeStore struct {
	f  *fakeFleet
	id string
}

func (w fakeStore) SetState(_ context.Context, o Order, s State) error {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.f.writers = append(w.f.writers, w.id)
	if w.f.failingWrites > 0 {
		w.f.failingWrites--
		return errors.New("the response is lost")
	}
	if len(w.f.states) > 0 && w.f.states[len(w.f.states)-1] == s {
		return errors.New("conflict")
	}
	w.f.states = append(w.f.states, s)
	o.State, o.Revision = s, o.Revision+1
	for _, svc := range w.f.services {
		svc.Apply(mirror.Change{Object: objectOf(o)})
	}
	return nil
}

// ordersBySpec holds the orders behind the stand-in objects, since a mirror.Object has no place for an Order.
var ordersBySpec sync.Map

func objectOf(o Order) mirror.Object {
	name := fmt.Sprint(o.Service, o.Revision)
	ordersBySpec.Store(name, o)
	return mirror.Object{Name: o.Service, Revision: o.Revision, CreatedRevision: o.Created, Spec: []byte(name)}
}

func decodeOrder(obj mirror.Object) (Order, error) {
	o, ok := ordersBySpec.Load(string(obj.Spec))
	if !ok {
		return Order{}, errors.New("unreadable")
	}
	return o.(Order), nil
}

func newFakeFleet(n int) *fakeFleet {
	f := &fakeFleet{table: relay.NewTable("fleet"), dead: map[string]bool{}}
	for i := range n {
		f.addDaemon(fmt.Sprintf("d%d", i))
	}
	return f
}

func (f *fakeFleet) addDaemon(id string) *Service {
	s := New(id, fakeGossip{f}, f, fakeStore{f, id}, decodeOrder, Options{ExposureShare: 0.15, SessionLifetime: 5 * time.Second}, event.Discard())
	f.ids = append(f.ids, id)
	f.services = append(f.services, s)
	return s
}

func (f *fakeFleet) applyOrder(o Order) {
	for _, s := range f.services {
		s.Apply(mirror.Change{Object: objectOf(o)})
	}
}

// run plays the rounds of all daemons for d; send, if not nil, sends a daemon's requests of one round.
func (f *fakeFleet) run(d time.Duration, send func(s *Service)) {
	for range int(d / roundInterval) {
		time.Sleep(roundInterval)
		for i, s := range f.services {
			if f.dead[f.ids[i]] {
				continue
			}
			if send != nil {
				send(s)
			}
			s.round(context.Background())
		}
		synctest.Wait()
	}
}

var (
	oldServer   = registry.Server{ID: "o", Service: "s", Version: "v1"}
	newServer   = registry.Server{ID: "n", Service: "s", Version: "v2"}
	bothServers = []registry.Server{oldServer, newServer}
)

func eligible(s *Service, key string, servers []registry.Server) []registry.Server {
	preferred, _ := s.Eligible("s", key, key, servers)
	return preferred
}

// sendRequests returns a function that sends n requests of new sessions through a daemon; fails says whether the
// i-th request fails if the target version gets it.
func sendRequests(n int, fails func(i int) bool) func(s *Service) {
	count := 0
	return func(s *Service) {
		for range n {
			count++
			srv := serveSession(s, fmt.Sprint("session", count))
			s.Judge(srv, "r", "r m", srv == newServer && fails(count), 10*time.Millisecond)
		}
	}
}

func neverFails(int) bool { return false }

var standardOrder = Order{Service: "s", Target: "v2", Duration: 24 * time.Second, Revision: 10, Created: 10}

// A good version that isn't completed in its time would leave the roll-out open.
func TestGoodVersionCompletesWithinDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(3)
		f.applyOrder(standardOrder)
		f.run(12*time.Second, sendRequests(5, neverFails))
		require.Equal(t, []State{Running}, f.states)
		f.run(11*time.Second, sendRequests(5, neverFails))
		require.Equal(t, []State{Running, Completed}, f.states)
		require.Equal(t, []registry.Server{newServer}, eligible(f.services[0], "x", bothServers))
	})
}

// A single daemon sees too few responses of a bad version to decide in time; the sums of the fleet have to.
func TestBadVersionIsRolledBackOnFleetCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(6)
		f.applyOrder(standardOrder)
		f.run(12*time.Second, sendRequests(3, func(i int) bool { return i%2 == 0 }))
		require.Equal(t, RolledBack, f.states[len(f.states)-1])
		for _, s := range f.services {
			require.Equal(t, []registry.Server{oldServer}, eligible(s, "x", bothServers))
			preferred, fallback := s.Eligible("s", "x", "x", []registry.Server{newServer})
			require.Empty(t, append(preferred, fallback...), "better no server than a bad one")
		}
	})
}

// A version whose responses are right but 8 times slower than the old version's must not be completed.
func TestSlowVersionIsRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(3)
		f.applyOrder(standardOrder)
		n := 0
		f.run(12*time.Second, func(s *Service) {
			for range 5 {
				n++
				srv := eligible(s, fmt.Sprint(n), bothServers)[0]
				chunkTime := 10 * time.Millisecond
				if srv == newServer && n%2 == 0 {
					chunkTime *= 8
				}
				s.JudgeSpeed(srv, "r", "r m", chunkTime, false)
				s.Judge(srv, "r", "r m", false, chunkTime)
			}
		})
		require.Equal(t, RolledBack, f.states[len(f.states)-1])
	})
}

// A session would see two versions in turn if daemons disagreed, or if a change of the share moved it back.
func TestDaemonsAgreeOnSessionsAndSessionsOnlyMoveForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(2)
		f.applyOrder(standardOrder)
		moved, lastServer := 0, map[string]string{}
		for step := range 22 {
			f.run(time.Second, nil)
			for i := range 300 {
				key := fmt.Sprint(i)
				a, b := eligible(f.services[0], key, bothServers)[0], eligible(f.services[1], key, bothServers)[0]
				require.Equal(t, a, b)
				if lastServer[key] == "n" {
					require.Equal(t, "n", a.ID, "a session does not go back")
				}
				if step > 0 && step < 12 {
					require.Equal(t, lastServer[key], a.ID, "no session moves in the first half")
				}
				if lastServer[key] != a.ID {
					moved++
				}
				lastServer[key] = a.ID
			}
		}
		require.Positive(t, moved)
	})
}

// A daemon that counted the time from its own start would route by too small a share and complete too late.
func TestDaemonStartedDuringRolloutAdoptsElapsedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(2)
		f.applyOrder(standardOrder)
		f.run(17*time.Second, sendRequests(5, neverFails))
		late := f.addDaemon("late")
		late.Apply(mirror.Change{Object: objectOf(Order{Service: "s", Target: "v2", Duration: 24 * time.Second, State: Running, Revision: 11, Created: 10})})
		f.run(time.Second, sendRequests(1, neverFails))
		require.Greater(t, late.rollouts["s"].elapsed(time.Now()), 16*time.Second)
	})
}

// The state would never reach the store if a failed write were final or the daemon of rank 0 were the only writer.
func TestFailedStateWriteIsRetriedOrTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(3)
		f.applyOrder(standardOrder)
		f.run(2*time.Second, sendRequests(5, neverFails))
		f.failingWrites = 2
		f.run(21*time.Second, sendRequests(5, neverFails))
		require.Equal(t, Completed, f.states[len(f.states)-1], "a failed write is retried")
		require.Contains(t, f.writers, "d0")
	})
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(3)
		f.services[0].states = failingStore{}
		f.applyOrder(standardOrder)
		f.run(4*time.Second, sendRequests(5, neverFails))
		require.Equal(t, []State{Running}, f.states)
		require.Equal(t, []string{"d1"}, f.writers)
	})
}

// failingStore is a StateWriter whose writes all fail.
type failingStore struct{}

func (failingStore) SetState(context.Context, Order, State) error {
	return errors.New("connection lost")
}

// Without an unfinished roll-out the rounds must not cause gossip traffic.
func TestNothingIsPublishedWithoutActiveRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(2)
		f.run(time.Second, sendRequests(5, neverFails))
		require.Empty(t, f.table.Prefix(countsPrefix))
		f.applyOrder(Order{Service: "s", Target: "v2", Duration: time.Second, State: RolledBack, Revision: 3, Created: 3})
		f.run(time.Second, sendRequests(5, neverFails))
		require.Empty(t, f.table.Prefix(countsPrefix))
		require.Equal(t, []registry.Server{oldServer}, eligible(f.services[0], "x", bothServers))
	})
}

// serveSession sends one request of a session through a daemon and returns the server that it used.
func serveSession(s *Service, session string) registry.Server {
	srv := eligible(s, session, bothServers)[0]
	s.Begin(srv, session)
	s.End(srv, session)
	return srv
}

// Guards against moving sessions that are under way when a roll-out starts.
func TestSessionsUnderWayKeepTheirVersionInTheFirstHalfOfARollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const sessions = 300
		f := newFakeFleet(3)
		serve := func(round int) map[string]string {
			used := map[string]string{}
			for i := range sessions {
				session := fmt.Sprint("session", i)
				used[session] = serveSession(f.services[(i+round)%len(f.services)], session).Version
			}
			return used
		}
		for i := range sessions {
			srv := f.services[i%len(f.services)]
			srv.Begin(oldServer, fmt.Sprint("session", i))
			srv.End(oldServer, fmt.Sprint("session", i))
		}
		f.applyOrder(standardOrder)
		for round := range 3 {
			f.run(3*time.Second, nil)
			for session, version := range serve(round) {
				require.Equal(t, "v1", version, "%s %d s after the order", session, 3*(round+1))
			}
		}
		newSessions := 0
		for i := range sessions {
			if serveSession(f.services[i%len(f.services)], fmt.Sprint("later", i)) == newServer {
				newSessions++
			}
		}
		require.Positive(t, newSessions, "sessions that start after the order show whether the target is worse")
		f.run(12*time.Second, nil)
		for session, version := range serve(0) {
			require.Equal(t, "v2", version, "%s in the second half", session)
		}
	})
}

// Guards against moving sessions whose daemon shut down shortly before a roll-out started.
func TestSessionsOfADaemonThatLeftKeepTheirVersionInTheFirstHalfOfARollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(2)
		for i := range 300 {
			serveSession(f.services[0], fmt.Sprint("session", i))
		}
		f.services[0].Leave()
		f.run(time.Second, nil)
		f.dead["d0"] = true
		f.applyOrder(standardOrder)
		f.run(3*time.Second, nil)
		for i := range 300 {
			require.Equal(t, oldServer, serveSession(f.services[1], fmt.Sprint("session", i)))
		}
	})
}

// streamLoad is the load of the old version's servers, as the additional time between events in multiples of that of a
// server with a single stream: the median and the standard deviation of its logarithm.
type streamLoad struct{ median, spread float64 }

var calmLoad, burstLoad = streamLoad{1.25, 0.5}, streamLoad{5, 1}

// Guards against completing a version whose slowness is hidden by the load of the old version's servers.
func TestSlowVersionOnIdleServersIsRolledBackInTheFirstHalf(t *testing.T) {
	for _, load := range []streamLoad{calmLoad, burstLoad} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet(6)
			f.applyOrder(standardOrder)
			f.run(12*time.Second, sendStreams(rand.New(rand.NewPCG(1, 2)), load, 4))
			require.Equal(t, RolledBack, f.states[len(f.states)-1], load)
		})
	}
}

// Guards against stopping a version that is as fast as the old one.
func TestVersionAsFastAsTheOldOneCompletes(t *testing.T) {
	for seed := range uint64(50) {
		for _, load := range []streamLoad{calmLoad, burstLoad} {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(6)
				f.applyOrder(standardOrder)
				f.run(24*time.Second, sendStreams(rand.New(rand.NewPCG(seed, 3)), load, 1))
				require.Equal(t, Completed, f.states[len(f.states)-1], "seed %d, %v", seed, load)
			})
		}
	}
}

// Guards against forgetting streams that were judged before the old version's times were known.
func TestStreamsJudgedBeforeTheOldTimesAreKnownCountLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(2)
		f.applyOrder(standardOrder)
		f.run(2*time.Second, nil)
		eligible(f.services[0], "x", bothServers)
		for range 6 {
			f.services[0].JudgeSpeed(newServer, "r", "r m", 80*time.Millisecond, false)
		}
		f.run(time.Second, nil)
		require.Equal(t, []State{Running}, f.states)
		for range minSlowSamples {
			f.services[1].JudgeSpeed(oldServer, "r", "r m", 20*time.Millisecond, false)
		}
		f.run(3*time.Second, nil)
		require.Equal(t, []State{Running, RolledBack}, f.states)
	})
}

// Guards against stopping a good version whose few servers have as much load as the old version's.
func TestSpeedIsNotJudgedOnServersWithAsMuchLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(2)
		f.applyOrder(standardOrder)
		for i := range 10 {
			bothServers := append(slices.Repeat([]registry.Server{oldServer}, 10), newServer)
			eligible(f.services[0], fmt.Sprint(i), bothServers)
		}
		f.run(2*time.Second, nil)
		for range 50 {
			f.services[0].JudgeSpeed(oldServer, "r", "r m", 10*time.Millisecond, false)
			f.services[0].JudgeSpeed(newServer, "r", "r m", 30*time.Millisecond, false)
		}
		f.run(time.Second, nil)
		require.Equal(t, []State{Running}, f.states)
	})
}

// sendStreams returns a function that sends streams of new sessions through a daemon, three a round. Servers of the
// target have a tenth of the load and take slowdown times as long.
func sendStreams(rng *rand.Rand, load streamLoad, slowdown float64) func(s *Service) {
	const unloaded = 20 * time.Millisecond
	return func(s *Service) {
		for range 3 {
			srv := serveSession(s, fmt.Sprint("session", rng.Uint64()))
			l, factor := load.median*math.Exp(load.spread*rng.NormFloat64()), 1.0
			if srv == newServer {
				l, factor = l/10, slowdown
			}
			gap := time.Duration(factor * (1 + l) * float64(unloaded))
			s.JudgeSpeed(srv, "r", "r m", gap, false)
			s.Judge(srv, "r", "r m", false, gap)
		}
	}
}

// Guards against completing a version whose responses are too short to show the speed of a stream, but start late.
func TestVersionThatStartsItsResponsesLateIsRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(3)
		f.applyOrder(standardOrder)
		n := 0
		f.run(12*time.Second, func(s *Service) {
			for range 5 {
				n++
				srv := serveSession(s, fmt.Sprint(n))
				toFirstChunk := 10 * time.Millisecond
				if srv == newServer && n%2 == 0 {
					toFirstChunk *= 8
				}
				s.JudgeSpeed(srv, "r", "r m first", toFirstChunk, true)
				s.Judge(srv, "r", "r m first", false, toFirstChunk)
			}
		})
		require.Equal(t, RolledBack, f.states[len(f.states)-1])
	})
}
