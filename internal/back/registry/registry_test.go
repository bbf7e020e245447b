package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/core/event"
)

// decode reads "service" or "service draining"; empty specs are unreadable.
func decode(o mirror.Object) (Server, error) {
	if len(o.Spec) == 0 {
		return Server{}, errors.New("unreadable")
	}
	return Server{ID: o.Name, Service: "s", Draining: string(o.Spec) == "draining"}, nil
}

func entry(name, spec string) mirror.Object { return mirror.Object{Name: name, Spec: []byte(spec)} }

func filled(objects ...mirror.Object) *Registry {
	r := New(decode, event.Discard())
	for _, o := range objects {
		r.Apply(mirror.Change{Object: o})
	}
	return r
}

func ids(r *Registry) []string {
	out := []string{}
	for _, s := range r.View().ServersOf("s") {
		out = append(out, s.ID)
	}
	return out
}

func TestDrainingUnreadableAndDeletedEntriesGetNoWork(t *testing.T) {
	r := filled(entry("a", "x"), entry("b", "x"), entry("c", ""), entry("d", "draining"))
	require.Equal(t, []string{"a", "b"}, ids(r), "an unreadable entry does not disturb the others")
	r.Apply(mirror.Change{Object: entry("a", "draining")})
	require.Equal(t, []string{"b"}, ids(r))
	r.Apply(mirror.Change{Object: entry("b", "x"), Deleted: true})
	require.Empty(t, ids(r), "a deletion by a store that answers counts at once")
}

func TestAnEntryMissingAfterAnOutageMayComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := filled(entry("a", "x"), entry("b", "x"))
		r.Apply(mirror.Change{Object: entry("a", ""), Deleted: true, MayReturn: true})
		r.Apply(mirror.Change{Object: entry("b", ""), Deleted: true, MayReturn: true})
		require.Equal(t, []string{"a", "b"}, ids(r))
		time.Sleep(time.Second)
		r.Apply(mirror.Change{Object: entry("a", "x")})
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, []string{"a"}, ids(r), "one that is still missing after two seconds is gone")
	})
}
