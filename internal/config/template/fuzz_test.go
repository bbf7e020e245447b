package template

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Parsing a malformed template must fail with a remedy and not panic. A template that parses must allow the sessions of
// each version to continue unless the version is withdrawn.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[account a]\nkeySha256 = " + HashKey("k") + "\n[version m@1]\nstate = serving\n[class default]\n"))
	f.Add([]byte("[parameters]\nx = 1\n[template]\ncostWeight = ${x}\n"))
	f.Add([]byte("[version\n=\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		tpl, err := Parse("fuzz", 1, text)
		if err != nil {
			require.Equal(t, fault.Invalid, fault.KindOf(err))
			require.NotEmpty(t, fault.As(err).Remedy)
			return
		}
		for name, p := range tpl.Accounts {
			require.Equal(t, name, p.Account)
			for _, v := range p.Versions {
				require.Equal(t, v.State != Withdrawn, p.Allows(v.ID, true))
			}
		}
	})
}

// A withdrawn version must get no requests, and a draining one only those of sessions that already use it.
func TestAllowsFollowsTheStateOfTheVersion(t *testing.T) {
	for state, want := range map[State][2]bool{
		RollingIn: {true, true}, Serving: {true, true}, Draining: {false, true}, Withdrawn: {false, false},
	} {
		p := &Policy{Versions: []Version{{ID: "m@1", State: state}}}
		require.Equal(t, want[0], p.Allows("m@1", false), state)
		require.Equal(t, want[1], p.Allows("m@1", true), state)
		require.False(t, p.Allows("m@2", true))
	}
}
