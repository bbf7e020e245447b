package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPausedServersAreNotChosenUntilTheirPauseEnds(t *testing.T) {
	type pause struct {
		server int
		after  time.Duration
		length time.Duration
	}
	for _, tc := range []struct {
		name     string
		pauses   []pause
		avoid    []string
		at       time.Duration
		chosen   []string
		shortest time.Duration
	}{
		{"none", nil, nil, 0, []string{"i-0", "i-1"}, 0},
		{"one", []pause{{0, 0, time.Second}}, nil, 999 * time.Millisecond, []string{"i-1"}, 0},
		{"one that has ended", []pause{{0, 0, time.Second}}, nil, time.Second, []string{"i-0", "i-1"}, 0},
		{"a fraction of a second", []pause{{0, 0, 250 * time.Millisecond}}, nil, 240 * time.Millisecond, []string{"i-1"}, 0},
		{"all", []pause{{0, 0, 3 * time.Second}, {1, 0, 2 * time.Second}}, nil, time.Second, nil, time.Second},
		{"all but one to be avoided", []pause{{0, 0, 3 * time.Second}}, []string{"i-1"}, time.Second, nil, 2 * time.Second},
		{"paused and to be avoided", []pause{{0, 0, 3 * time.Second}, {1, 0, 2 * time.Second}}, []string{"i-1"}, 0, nil, 2 * time.Second},
		{"a later, shorter one", []pause{{0, 0, 4 * time.Second}, {0, time.Second, time.Second}, {1, 0, 9 * time.Second}}, nil, 3 * time.Second, nil, time.Second},
		{"a later, longer one", []pause{{0, 0, time.Second}, {0, 500 * time.Millisecond, 2 * time.Second}}, nil, 2 * time.Second, []string{"i-1"}, 0},
		{"absurdly long", []pause{{0, 0, 1000 * time.Hour}}, nil, maxPause, []string{"i-0", "i-1"}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New("r", "a")
			query := Query{Candidates: candidates(2), Class: "s", TargetLatency: time.Second, Avoid: tc.avoid}
			for _, p := range tc.pauses {
				c.Pause(query.Candidates[p.server], p.length, now.Add(p.after))
			}
			at := now.Add(tc.at)
			require.Equal(t, tc.shortest, c.ShortestPause(query, at))
			seen := map[string]bool{}
			for range 40 {
				if r := c.Choose(query, at); r != nil {
					seen[r.ServerID] = true
				}
			}
			require.Len(t, seen, len(tc.chosen))
			for _, id := range tc.chosen {
				require.True(t, seen[id], id)
			}
			_, ok := c.ExpectedTimeToFirstChunk(query, at)
			require.Equal(t, len(tc.chosen) > 0, ok)
		})
	}
}

// Guards against a pause that is lost with the rest of a server's history when its entry is missing for a moment, and
// against one that a restarted server inherits.
func TestAPauseBelongsToOneStartOfAServer(t *testing.T) {
	c := New("r", "a")
	query := Query{Candidates: candidates(1), Class: "s", TargetLatency: time.Second}
	c.Pause(query.Candidates[0], time.Second, now)
	c.Retain(func(string) bool { return false })
	require.Nil(t, c.Choose(query, now))
	query.Candidates[0].Incarnation = 7
	require.NotNil(t, c.Choose(query, now))
}

func TestEndedPausesAreForgotten(t *testing.T) {
	c := New("r", "a")
	for i := range 1000 {
		c.Pause(Candidate{ID: "i", Incarnation: int64(i)}, time.Second, now.Add(time.Duration(i)*100*time.Millisecond))
	}
	require.LessOrEqual(t, len(c.pauses), 11)
}
