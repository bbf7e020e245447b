package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{ID: fmt.Sprintf("i-%d", i), AvailabilityZone: "a", Region: "r", Slots: 8}
	}
	return out
}

func prompt(subject string, tokens int) Query {
	return Query{
		Candidates: candidates(4), Class: "s m", PromptTokens: tokens, TargetLatency: time.Second,
		PromptParts: []PromptPart{{"common", 500}, {subject, 2000}, {"own", tokens - 2500}},
	}
}

func TestRequestsOfOneSubjectShareAServerUntilItIsBusy(t *testing.T) {
	c := New("r", "a")
	first := c.Choose(prompt("x", 4000), now)
	c.RecordFirstChunk(first, 100*time.Millisecond)
	second := c.Choose(prompt("x", 4000), now)
	require.Equal(t, first.ServerID, second.ServerID, "the parts are cached there")
	long := prompt("y", 50_000)
	long.Candidates = slices.DeleteFunc(long.Candidates, func(cand Candidate) bool { return cand.ID != first.ServerID })
	c.Choose(long, now)
	require.NotEqual(t, first.ServerID, c.Choose(prompt("x", 4000), now).ServerID, "work that waits there outweighs the cache")
}

func TestAllDaemonsPreferTheSameServer(t *testing.T) {
	for i := range 20 {
		subject := fmt.Sprint(i)
		require.Equal(t, New("r", "a").Choose(prompt(subject, 9000), now).ServerID, New("r", "b").Choose(prompt(subject, 9000), now).ServerID)
	}
}

func TestTheExpectedTimeGrowsWithTheWorkThatWaits(t *testing.T) {
	c := New("r", "a")
	before, ok := c.ExpectedTimeToFirstChunk(prompt("x", 4000), now)
	require.True(t, ok)
	for range 8 {
		c.Choose(prompt("y", 50_000), now)
	}
	after, ok := c.ExpectedTimeToFirstChunk(prompt("x", 4000), now)
	require.True(t, ok)
	require.Greater(t, after, 4*before)
	none := prompt("x", 4000)
	none.Candidates = nil
	_, ok = c.ExpectedTimeToFirstChunk(none, now)
	require.False(t, ok)
}

func TestAServerFarAwayIsTakenOnlyWhenTheNearOnesAreBusy(t *testing.T) {
	c := New("r", "a")
	ask := Query{Candidates: candidates(2), Class: "s", TargetLatency: time.Second}
	ask.Candidates[1].AvailabilityZone, ask.Candidates[1].Region = "z", "q"
	for range 8 {
		require.Equal(t, "i-0", c.Choose(ask, now).ServerID)
	}
	far := false
	for range 200 {
		far = far || c.Choose(ask, now).ServerID == "i-1"
	}
	require.True(t, far)
}

func TestAFailedServerIsSetAsideAndComesBack(t *testing.T) {
	c := New("r", "a")
	ask := Query{Candidates: candidates(2), Class: "s", TargetLatency: time.Second}
	broken := c.Choose(ask, now)
	c.Release(broken, ConnectionFailed, now)
	for range 10 {
		require.NotEqual(t, broken.ServerID, c.Choose(ask, now).ServerID)
	}
	back := false
	for range 40 {
		back = back || c.Choose(ask, now.Add(maxAside)).ServerID == broken.ServerID
	}
	require.True(t, back)
	ask.Avoid = []string{"i-0", "i-1"}
	require.Nil(t, c.Choose(ask, now))
}

func TestASlowServerGetsLessWork(t *testing.T) {
	c := New("r", "a")
	ask := Query{Candidates: candidates(2), Class: "s", TargetLatency: time.Second}
	counts := map[string]int{}
	at := now
	for range 400 {
		ticket := c.Choose(ask, at)
		counts[ticket.ServerID]++
		took := 20 * time.Millisecond
		if ticket.ServerID == "i-0" {
			took = 200 * time.Millisecond
		}
		at = at.Add(10 * time.Millisecond)
		c.RecordFirstChunk(ticket, took)
		c.Release(ticket, Success, at)
	}
	require.Less(t, counts["i-0"]*3, counts["i-1"])
}

func TestARestartedServerIsANewOne(t *testing.T) {
	c := New("r", "a")
	ask := Query{Candidates: candidates(1), Class: "s", TargetLatency: time.Second}
	c.Release(c.Choose(ask, now), ConnectionFailed, now)
	ask.Candidates[0].Incarnation = 7
	ticket := c.Choose(ask, now)
	require.Zero(t, ticket.ahead)
	require.True(t, c.servers["i-0"].until.IsZero())
}

func TestLaterAnswersOvertakeALostOne(t *testing.T) {
	c := New("r", "a")
	ask := Query{Candidates: candidates(1), Class: "s", TargetLatency: time.Second}
	lost := c.Choose(ask, now)
	for range 3 {
		c.RecordFirstChunk(c.Choose(ask, now), time.Millisecond)
	}
	require.Equal(t, 3, c.Overtaken(lost))
}

func TestWhatIsTakenIsGivenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New("r", "a")
		var open []*Reservation
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(open) == 0 || rapid.Bool().Draw(t, "choose") {
				ask := prompt(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "subject"), rapid.IntRange(2600, 60_000).Draw(t, "tokens"))
				open = append(open, c.Choose(ask, now))
				continue
			}
			ticket := open[0]
			open = open[1:]
			if rapid.Bool().Draw(t, "answered") {
				c.RecordFirstChunk(ticket, time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond)
			}
			c.Release(ticket, rapid.SampledFrom([]Outcome{Success, Refused, Failed, ConnectionFailed, Ignored}).Draw(t, "outcome"), now)
		}
		for _, ticket := range open {
			c.Release(ticket, Success, now)
			c.Release(ticket, Success, now)
		}
		for _, s := range c.servers {
			require.Zero(t, s.running)
			require.InDelta(t, 0, s.waiting, 1e-9)
			require.Empty(t, s.unanswered)
		}
	})
}

func TestSharedPromptsPreferOneServerOfTheOwnZone(t *testing.T) {
	ask := prompt("x", 9000)
	for i := range ask.Candidates {
		ask.Candidates[i].AvailabilityZone = []string{"a", "b"}[i%2]
	}
	for _, zone := range []string{"a", "b"} {
		homes := map[string]bool{}
		for range 10 { // daemons of one zone, each without any memory
			ticket := New("r", zone).Choose(ask, now)
			i := slices.IndexFunc(ask.Candidates, func(c Candidate) bool { return c.ID == ticket.ServerID })
			require.Equal(t, zone, ask.Candidates[i].AvailabilityZone)
			homes[ticket.ServerID] = true
		}
		require.Len(t, homes, 1, "they agree")
	}
}

func TestSpeedsThatDifferByChanceCountAsNone(t *testing.T) {
	s := newServer(1)
	for range 100 {
		s.learnSpeed(speedNoise)
	}
	require.InDelta(t, 1, s.factor(), 1e-9)
	for range 100 {
		s.learnSpeed(-speedNoise)
	}
	require.InDelta(t, 1, s.factor(), 1e-9)
	for range 100 {
		s.learnSpeed(2)
	}
	require.Greater(t, s.factor(), 4.0)
}
