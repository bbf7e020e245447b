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

// decode returns a server that is draining if the spec is "draining"; an empty spec is malformed.
func decode(o mirror.Object) (Server, error) {
	if len(o.Spec) == 0 {
		return Server{}, errors.New("malformed entry")
	}
	return Server{ID: o.Name, Service: "s", Draining: string(o.Spec) == "draining"}, nil
}

func entry(name, spec string) mirror.Object { return mirror.Object{Name: name, Spec: []byte(spec)} }

func newRegistry(objects ...mirror.Object) *Registry {
	r := New(decode, event.Discard())
	for _, o := range objects {
		r.Apply(mirror.Change{Object: o})
	}
	return r
}

func availableIDs(r *Registry) []string {
	out := []string{}
	for _, s := range r.View().ServersOf("s") {
		out = append(out, s.ID)
	}
	return out
}

// Guards against requests to servers that don't accept them, and against a malformed entry that affects other servers.
func TestViewOmitsDrainingMalformedAndDeletedServers(t *testing.T) {
	r := newRegistry(entry("a", "x"), entry("b", "x"), entry("c", ""), entry("d", "draining"))
	require.Equal(t, []string{"a", "b"}, availableIDs(r), "a malformed entry does not affect the others")
	r.Apply(mirror.Change{Object: entry("a", "draining")})
	require.Equal(t, []string{"b"}, availableIDs(r))
	r.Apply(mirror.Change{Object: entry("b", "x"), Deleted: true})
	require.Empty(t, availableIDs(r), "a deletion while the store is available takes effect at once")
}

// A store can miss entries for up to two seconds after an outage. Guards against servers that are removed although
// their entries return, and against missing ones that stay for longer.
func TestServerMissingAfterOutageIsKeptForMayReturnTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(entry("a", "x"), entry("b", "x"))
		r.Apply(mirror.Change{Object: entry("a", ""), Deleted: true, MayReturn: true})
		r.Apply(mirror.Change{Object: entry("b", ""), Deleted: true, MayReturn: true})
		require.Equal(t, []string{"a", "b"}, availableIDs(r))
		time.Sleep(time.Second)
		r.Apply(mirror.Change{Object: entry("a", "x")})
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, []string{"a"}, availableIDs(r), "a server whose entry is still missing after two seconds is removed")
	})
}
