package routing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

// A request would get the wrong route if a shorter prefix, a part of a path segment or another host's route matched.
func TestMatchReturnsTheRouteWithTheLongestPrefix(t *testing.T) {
	table := NewTable(Config{Revision: 1, Routes: []Route{
		{Name: "root", Host: "h", Prefix: "/"},
		{Name: "a", Host: "h", Prefix: "/a/"},
		{Name: "ab", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "g", Prefix: "/a/"},
	}})
	for _, tc := range []struct{ host, path, want string }{
		{"h", "/", "root"},
		{"h", "/x", "root"},
		{"h", "/a", "root"},
		{"h", "/a/", "a"},
		{"h", "/a/bc", "a"},
		{"h", "/a/b/", "ab"},
		{"h", "/a/b/c/d", "ab"},
		{"g", "/a/b/c", "other"},
		{"g", "/b", ""},
		{"x", "/a/", ""},
		{"h", "nopath", ""},
	} {
		r, ok := table.Match(tc.host, tc.path)
		require.Equal(t, tc.want != "", ok, tc)
		if ok {
			require.Equal(t, tc.want, r.Name, tc)
		}
	}
}

// Tables may be offered in any order, by the store and by peers; a daemon must never return to an older one.
func TestOnlyAHigherRevisionReplacesTheTableInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHolder(event.Discard())
		highest := int64(0)
		for _, rev := range rapid.SliceOfN(rapid.Int64Range(1, 50), 1, 30).Draw(t, "revisions") {
			took := h.Offer(NewTable(Config{Revision: rev}), "test")
			require.Equal(t, rev > highest, took)
			highest = max(highest, rev)
			require.Equal(t, highest, h.Current().Revision)
		}
	})
}

// A daemon that starts during an outage has no table; waiting for one must end with its context.
func TestAwaitReturnsTheFirstTableOrNilWhenTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHolder(event.Discard())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.Nil(t, h.Await(ctx))
		time.AfterFunc(time.Second, func() { h.Offer(NewTable(Config{Revision: 1}), "test") })
		require.EqualValues(t, 1, h.Await(context.Background()).Revision)
	})
}
