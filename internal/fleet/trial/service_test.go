package trial

import (
	"context"
	"fmt"
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

// fleet is some daemons whose table is one; outcome is what the store holds.
type fleet struct {
	table    *relay.Table
	services []*Service
	ids      []string
	dead     map[string]bool

	mu      sync.Mutex
	states  []State
	writers []string
	lose    int
}

// gossip publishes into the shared table.
type gossip struct{ f *fleet }

func (g gossip) Fleet() *relay.Table { return g.f.table }
func (gossip) MarkFrequent(string)   {}
func (g gossip) PublishOwn(key string, m proto.Message) error {
	body, err := proto.Marshal(m)
	old, _ := g.f.table.Get(key)
	g.f.table.Apply(relay.Record{Key: key, Version: old.Version + 1, Body: body})
	return err
}

func (f *fleet) Live() []member.Member {
	var out []member.Member
	for _, id := range f.ids {
		if !f.dead[id] {
			out = append(out, member.Member{Node: peer.Node{ID: id}})
		}
	}
	return out
}

// writer is one daemon's way to the store.
type writer struct {
	f  *fleet
	id string
}

func (w writer) SetState(_ context.Context, o Order, s State) error {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.f.writers = append(w.f.writers, w.id)
	if w.f.lose > 0 {
		w.f.lose--
		return errors.New("the answer is lost")
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

// orders carries orders through the mirror's type by their created revision.
var orders sync.Map

func objectOf(o Order) mirror.Object {
	name := fmt.Sprint(o.Service, o.Revision)
	orders.Store(name, o)
	return mirror.Object{Name: o.Service, Revision: o.Revision, CreatedRevision: o.Created, Spec: []byte(name)}
}

func decodeOrder(obj mirror.Object) (Order, error) {
	o, ok := orders.Load(string(obj.Spec))
	if !ok {
		return Order{}, errors.New("unreadable")
	}
	return o.(Order), nil
}

func newFleet(n int) *fleet {
	f := &fleet{table: relay.NewTable("fleet"), dead: map[string]bool{}}
	for i := range n {
		f.add(fmt.Sprintf("d%d", i))
	}
	return f
}

func (f *fleet) add(id string) *Service {
	s := New(id, gossip{f}, f, writer{f, id}, decodeOrder, 0.15, event.Discard())
	f.ids = append(f.ids, id)
	f.services = append(f.services, s)
	return s
}

func (f *fleet) order(o Order) {
	for _, s := range f.services {
		s.Apply(mirror.Change{Object: objectOf(o)})
	}
}

// play runs rounds of all daemons for d; each calls answer for its requests of that round.
func (f *fleet) play(d time.Duration, answer func(s *Service)) {
	for range int(d / interval) {
		time.Sleep(interval)
		for i, s := range f.services {
			if f.dead[f.ids[i]] {
				continue
			}
			if answer != nil {
				answer(s)
			}
			s.round(context.Background())
		}
		synctest.Wait()
	}
}

var (
	oldServer = registry.Server{ID: "o", Service: "s", Version: "v1"}
	newServer = registry.Server{ID: "n", Service: "s", Version: "v2"}
	both      = []registry.Server{oldServer, newServer}
)

func eligible(s *Service, key string, servers []registry.Server) []registry.Server {
	first, _ := s.Eligible("s", key, servers)
	return first
}

// requests sends n requests of new sessions through a daemon; bad says whether the target fails one.
func requests(n int, bad func(i int) bool) func(s *Service) {
	count := 0
	return func(s *Service) {
		for range n {
			count++
			srv := eligible(s, fmt.Sprint("session", count), both)[0]
			s.Begin(srv)
			s.End(srv)
			s.Judge(srv, "r", "r m", srv == newServer && bad(count), 10*time.Millisecond)
		}
	}
}

func good(int) bool { return false }

var standard = Order{Service: "s", Target: "v2", Duration: 24 * time.Second, Revision: 10, Created: 10}

func TestAGoodVersionIsCompletedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.order(standard)
		f.play(12*time.Second, requests(5, good))
		require.Equal(t, []State{Running}, f.states)
		f.play(11*time.Second, requests(5, good))
		require.Equal(t, []State{Running, Completed}, f.states)
		require.Equal(t, []registry.Server{newServer}, eligible(f.services[0], "x", both))
	})
}

func TestABadVersionIsStoppedByTheFleetsEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		f.order(standard)
		f.play(12*time.Second, requests(3, func(i int) bool { return i%2 == 0 }))
		require.Equal(t, RolledBack, f.states[len(f.states)-1])
		for _, s := range f.services {
			require.Equal(t, []registry.Server{oldServer}, eligible(s, "x", both))
			first, then := s.Eligible("s", "x", []registry.Server{newServer})
			require.Empty(t, append(first, then...), "better no server than a bad one")
		}
	})
}

func TestASlowVersionIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.order(standard)
		n := 0
		f.play(12*time.Second, func(s *Service) {
			for range 5 {
				n++
				srv := eligible(s, fmt.Sprint(n), both)[0]
				unit := 10 * time.Millisecond
				if srv == newServer && n%2 == 0 {
					unit *= 8
				}
				s.Judge(srv, "r", "r m", false, unit)
			}
		})
		require.Equal(t, RolledBack, f.states[len(f.states)-1])
	})
}

func TestSessionsAgreeBetweenDaemonsAndOnlyMoveForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.order(standard)
		moved, first := 0, map[string]string{}
		for step := range 22 {
			f.play(time.Second, nil)
			for i := range 300 {
				key := fmt.Sprint(i)
				a, b := eligible(f.services[0], key, both)[0], eligible(f.services[1], key, both)[0]
				require.Equal(t, a, b)
				if first[key] == "n" {
					require.Equal(t, "n", a.ID, "a session does not go back")
				}
				if step > 0 && step < 12 {
					require.Equal(t, first[key], a.ID, "no session moves in the first half")
				}
				if first[key] != a.ID {
					moved++
				}
				first[key] = a.ID
			}
		}
		require.Positive(t, moved)
	})
}

func TestADaemonThatStartsDuringATrialLearnsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.order(standard)
		f.play(17*time.Second, requests(5, good))
		late := f.add("late")
		late.Apply(mirror.Change{Object: objectOf(Order{Service: "s", Target: "v2", Duration: 24 * time.Second, State: Running, Revision: 11, Created: 10})})
		f.play(time.Second, requests(1, good))
		require.Greater(t, late.trials["s"].elapsed(time.Now()), 16*time.Second)
	})
}

func TestOthersStandInForAWriterThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.order(standard)
		f.play(2*time.Second, requests(5, good))
		f.lose = 2
		f.play(21*time.Second, requests(5, good))
		require.Equal(t, Completed, f.states[len(f.states)-1], "a lost answer is tried again")
		require.Contains(t, f.writers, "d0")
	})
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.services[0].outcomes = mute{}
		f.order(standard)
		f.play(4*time.Second, requests(5, good))
		require.Equal(t, []State{Running}, f.states)
		require.Equal(t, []string{"d1"}, f.writers)
	})
}

// mute is a way to the store that never works.
type mute struct{}

func (mute) SetState(context.Context, Order, State) error { return errors.New("cut off") }

func TestWithoutATrialNothingIsPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.play(time.Second, requests(5, good))
		require.Empty(t, f.table.Prefix(prefix))
		f.order(Order{Service: "s", Target: "v2", Duration: time.Second, State: RolledBack, Revision: 3, Created: 3})
		f.play(time.Second, requests(5, good))
		require.Empty(t, f.table.Prefix(prefix))
		require.Equal(t, []registry.Server{oldServer}, eligible(f.services[0], "x", both))
	})
}
