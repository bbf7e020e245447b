package registry

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/core/event"
)

// decodeBorn reads the start time of a server from its spec.
func decodeBorn(o mirror.Object) (Server, error) {
	born, err := strconv.ParseInt(string(o.Spec), 10, 64)
	return Server{ID: o.Name, Service: "s", Born: born, Address: "same"}, err
}

// Guards against new requests to a server that has said that it is leaving, whatever its entry says later.
func TestAServerThatSaysItIsLeavingIsInNoLaterView(t *testing.T) {
	r := New(decodeBorn, event.Discard())
	r.Apply(mirror.Change{Object: entry("i", "100")})
	r.Apply(mirror.Change{Object: entry("other", "100")})
	s, ok := r.View().Get("i")
	require.True(t, ok)
	r.MarkLeaving(s)
	require.Equal(t, []string{"other"}, availableIDs(r), "without a change of its entry")
	for _, c := range []mirror.Change{
		{Object: entry("i", "100")},
		{Object: entry("i", ""), Deleted: true, MayReturn: true},
		{Object: entry("i", "100")},
		{Object: entry("i", ""), Deleted: true},
		{Object: entry("i", "100")},
	} {
		r.Apply(c)
		require.Equal(t, []string{"other"}, availableIDs(r))
	}
	r.Apply(mirror.Change{Object: entry("i", "200")})
	require.Equal(t, []string{"i", "other"}, availableIDs(r), "a new start under the same ID is another server")
	r.Apply(mirror.Change{Object: entry("next", "100")})
	require.Equal(t, []string{"i", "next", "other"}, availableIDs(r), "another server at the same address")
}

func TestMarksOfServersThatAreGoneAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(decodeBorn, event.Discard())
		r.Apply(mirror.Change{Object: entry("stays", "1")})
		stays, _ := r.View().Get("stays")
		r.MarkLeaving(stays)
		for i := range 100 {
			r.MarkLeaving(Server{ID: "gone", Born: int64(i)})
			time.Sleep(time.Minute)
		}
		require.LessOrEqual(t, len(r.leaving), 13)
		require.Empty(t, availableIDs(r), "the entry of the leaving server is still there")
	})
}
