package settings

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// FuzzParse guards against a panic on malformed input, against errors of another kind than Invalid, and against
// accepted settings that lack a required value.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[daemon]\nid = a\nregion = r\navailabilityZone = z\n[platform]\nstore = s\nvmList = v\n[session]\nkeys = 0123456789abcdef\n"))
	f.Add([]byte("[daemon]\nid"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("fuzz", text)
		if err != nil {
			require.Equal(t, fault.Invalid, fault.KindOf(err))
			return
		}
		require.NotEmpty(t, s.Daemon.ID)
		require.NotEmpty(t, s.Session.Keys)
	})
}
