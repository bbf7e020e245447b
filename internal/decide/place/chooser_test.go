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

func TestRequestsWithASharedPromptPreferOneServerUntilItIsBusy(t *testing.T) {
	c := New("r", "a")
	first := c.Choose(prompt("x", 4000), now)
	c.RecordFirstChunk(first, 100*time.Millisecond)
	second := c.Choose(prompt("x", 4000), now)
	require.Equal(t, first.ServerID, second.ServerID, "the prompt parts are cached there")
	long := prompt("y", 50_000)
	long.Candidates = slices.DeleteFunc(long.Candidates, func(cand Candidate) bool { return cand.ID != first.ServerID })
	c.Choose(long, now)
	require.NotEqual(t, first.ServerID, c.Choose(prompt("x", 4000), now).ServerID, "queued work outweighs the cache")
}

func TestDaemonsWithoutHistoryPreferTheSameServer(t *testing.T) {
	for i := range 20 {
		subject := fmt.Sprint(i)
		require.Equal(t, New("r", "a").Choose(prompt(subject, 9000), now).ServerID, New("r", "b").Choose(prompt(subject, 9000), now).ServerID)
	}
}

func TestExpectedTimeGrowsWithQueuedWork(t *testing.T) {
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

func TestARemoteServerIsChosenOnlyWhenTheLocalOneIsBusy(t *testing.T) {
	c := New("r", "a")
	query := Query{Candidates: candidates(2), Class: "s", TargetLatency: time.Second}
	query.Candidates[1].AvailabilityZone, query.Candidates[1].Region = "z", "q"
	for range 8 {
		require.Equal(t, "i-0", c.Choose(query, now).ServerID)
	}
	remote := false
	for range 200 {
		remote = remote || c.Choose(query, now).ServerID == "i-1"
	}
	require.True(t, remote)
}

func TestAServerIsEjectedAfterAConnectionFailureAndReturns(t *testing.T) {
	c := New("r", "a")
	query := Query{Candidates: candidates(2), Class: "s", TargetLatency: time.Second}
	failed := c.Choose(query, now)
	c.Release(failed, ConnectionFailed, now)
	for range 10 {
		require.NotEqual(t, failed.ServerID, c.Choose(query, now).ServerID)
	}
	returned := false
	for range 40 {
		returned = returned || c.Choose(query, now.Add(maxEjection)).ServerID == failed.ServerID
	}
	require.True(t, returned)
	query.Avoid = []string{"i-0", "i-1"}
	require.Nil(t, c.Choose(query, now))
}

func TestASlowServerGetsFewerAttempts(t *testing.T) {
	c := New("r", "a")
	query := Query{Candidates: candidates(2), Class: "s", TargetLatency: time.Second}
	counts := map[string]int{}
	at := now
	for range 400 {
		reservation := c.Choose(query, at)
		counts[reservation.ServerID]++
		took := 20 * time.Millisecond
		if reservation.ServerID == "i-0" {
			took = 200 * time.Millisecond
		}
		at = at.Add(10 * time.Millisecond)
		c.RecordFirstChunk(reservation, took)
		c.Release(reservation, Success, at)
	}
	require.Less(t, counts["i-0"]*3, counts["i-1"])
}

func TestARestartedServerKeepsNoHistory(t *testing.T) {
	c := New("r", "a")
	query := Query{Candidates: candidates(1), Class: "s", TargetLatency: time.Second}
	c.Release(c.Choose(query, now), ConnectionFailed, now)
	query.Candidates[0].Incarnation = 7
	reservation := c.Choose(query, now)
	require.Zero(t, reservation.aheadSeconds)
	require.True(t, c.servers["i-0"].ejectedUntil.IsZero())
}

func TestLaterFirstChunksOvertakeAStalledAttempt(t *testing.T) {
	c := New("r", "a")
	query := Query{Candidates: candidates(1), Class: "s", TargetLatency: time.Second}
	stalled := c.Choose(query, now)
	for range 3 {
		c.RecordFirstChunk(c.Choose(query, now), time.Millisecond)
	}
	require.Equal(t, 3, c.Overtaken(stalled))
}

func TestReleaseReturnsEverythingThatWasReserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New("r", "a")
		var open []*Reservation
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(open) == 0 || rapid.Bool().Draw(t, "choose") {
				query := prompt(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "subject"), rapid.IntRange(2600, 60_000).Draw(t, "tokens"))
				open = append(open, c.Choose(query, now))
				continue
			}
			reservation := open[0]
			open = open[1:]
			if rapid.Bool().Draw(t, "answered") {
				c.RecordFirstChunk(reservation, time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond)
			}
			c.Release(reservation, rapid.SampledFrom([]Outcome{Success, Refused, Failed, ConnectionFailed, Ignored}).Draw(t, "outcome"), now)
		}
		for _, reservation := range open {
			c.Release(reservation, Success, now)
			c.Release(reservation, Success, now)
		}
		for _, s := range c.servers {
			require.Zero(t, s.inFlight)
			require.InDelta(t, 0, s.waitingSeconds, 1e-9)
			require.Empty(t, s.awaitingFirstChunk)
		}
	})
}

func TestDaemonsOfAZoneAgreeOnAServerOfTheirZoneForASharedPrompt(t *testing.T) {
	query := prompt("x", 9000)
	for i := range query.Candidates {
		query.Candidates[i].AvailabilityZone = []string{"a", "b"}[i%2]
	}
	for _, zone := range []string{"a", "b"} {
		chosen := map[string]bool{}
		for range 10 { // daemons of one zone without history
			reservation := New("r", zone).Choose(query, now)
			i := slices.IndexFunc(query.Candidates, func(c Candidate) bool { return c.ID == reservation.ServerID })
			require.Equal(t, zone, query.Candidates[i].AvailabilityZone)
			chosen[reservation.ServerID] = true
		}
		require.Len(t, chosen, 1, "the daemons of a zone agree")
	}
}

func TestSlowdownWithinTheNoiseCountsAsNone(t *testing.T) {
	s := newServer(1)
	for range 100 {
		s.updateSlowdown(slowdownNoiseLog)
	}
	require.InDelta(t, 1, s.slowdown(), 1e-9)
	for range 100 {
		s.updateSlowdown(-slowdownNoiseLog)
	}
	require.InDelta(t, 1, s.slowdown(), 1e-9)
	for range 100 {
		s.updateSlowdown(2)
	}
	require.Greater(t, s.slowdown(), 4.0)
}
