package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// counts holds the requests and retries of one step, or their sum over several.
type counts struct{ requests, retries int }

const (
	step      = 250 * time.Millisecond
	perWindow = 40
)

// requireWithinLimit checks every window of the played steps against the limit.
func requireWithinLimit(t require.TestingT, limit Limit, played []counts) {
	sum := func(from, to int) (m counts) {
		for _, p := range played[max(0, from):max(0, min(len(played), to))] {
			m.requests += p.requests
			m.retries += p.retries
		}
		return m
	}
	for from := range played {
		in := sum(from, from+perWindow)
		counted := max(in.requests, sum(from-perWindow, from).requests, sum(from-perWindow/2, from+perWindow/2).requests)
		require.LessOrEqual(t, float64(in.retries), limit.Ratio*float64(counted)+limit.Slack, "window from %d", from)
	}
}

// TestADaemonKeepsToTheLimit guards against windows with more retries than allowed when bursts follow pauses.
func TestADaemonKeepsToTheLimit(t *testing.T) {
	limit := Limit{Ratio: 0.5, Slack: 20, Window: perWindow * step}
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindowBudget(limit)
		var played []counts
		now := time.Unix(1000, 0)
		for len(played) < 3*perWindow {
			requests, wanted := rapid.IntRange(0, 30).Draw(t, "requests"), rapid.IntRange(0, 40).Draw(t, "wanted")
			for range rapid.IntRange(1, perWindow/2).Draw(t, "steps") {
				m := counts{requests: requests}
				for range requests {
					w.Earn(now)
				}
				for range wanted {
					if w.Spend(now, 1, 1) {
						m.retries++
					}
				}
				played = append(played, m)
				now = now.Add(step)
			}
		}
		requireWithinLimit(t, limit, played)
	})
}

// TestTheFleetKeepsToTheLimit guards against daemons that keep to the limit each but exceed it together: they share
// the traffic evenly and exchange no messages.
func TestTheFleetKeepsToTheLimit(t *testing.T) {
	limit := Limit{Ratio: 0.5, Slack: 20, Window: perWindow * step}
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(2, 6).Draw(t, "daemons")
		windows := make([]*WindowBudget, daemons)
		for i := range windows {
			windows[i] = NewWindowBudget(limit)
		}
		var played []counts
		now := time.Unix(1000, 0)
		for len(played) < 3*perWindow {
			requests, wanted := rapid.IntRange(0, 6).Draw(t, "requests"), rapid.IntRange(0, 8).Draw(t, "wanted")
			for range rapid.IntRange(1, perWindow/2).Draw(t, "steps") {
				var m counts
				for _, w := range windows {
					for range requests {
						m.requests++
						w.Earn(now)
					}
					for range wanted {
						if w.Spend(now, daemons, 1) {
							m.retries++
						}
					}
				}
				played = append(played, m)
				now = now.Add(step)
			}
		}
		requireWithinLimit(t, limit, played)
	})
}

func TestAShareOfTheRetriesIsKeptForMoreImportantUses(t *testing.T) {
	w := NewWindowBudget(Limit{Ratio: 0.5, Slack: 0, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	for range 100 {
		w.Earn(now)
	}
	spent := 0
	for w.Spend(now, 3, 0.7) {
		spent++
	}
	require.Equal(t, 35, spent)
	for w.Spend(now, 3, 1) {
		spent++
	}
	require.Equal(t, 50, spent)
	require.False(t, w.Spend(now.Add(5*time.Second), 3, 1))
	now = now.Add(11 * time.Second)
	w.Earn(now)
	w.Earn(now)
	require.True(t, w.Spend(now, 3, 1), "an old window no longer counts")
}
