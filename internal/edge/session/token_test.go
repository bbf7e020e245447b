package session

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Keys are replaced one after another: a daemon that signs with the new key must still accept sessions signed with the old
// key, until they expire.
func TestVerifyAcceptsTokensOfEveryKeyUntilTheyExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		oldKeyOnly := New([]string{"old-key-0123456789"}, time.Hour)
		bothKeys := New([]string{"new-key-0123456789", "old-key-0123456789"}, time.Hour)
		token := oldKeyOnly.Sign(Token{Template: "quotes", Account: "web", Version: "m@1"})
		got, err := bothKeys.Verify(token)
		require.NoError(t, err)
		require.Equal(t, "m@1", got.Version)
		_, err = oldKeyOnly.Verify(bothKeys.Sign(Token{}))
		require.ErrorContains(t, err, "not valid")
		time.Sleep(time.Hour + 2*time.Second)
		_, err = bothKeys.Verify(token)
		require.ErrorContains(t, err, "expired")
	})
}

// A text that verifies must have exactly one dot, between payload and signature.
func FuzzVerify(f *testing.F) {
	s := New([]string{"key-0123456789abcd"}, time.Hour)
	f.Add("a.b")
	f.Add(s.Sign(Token{Version: "x"}) + "0")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := s.Verify(text); err == nil {
			require.Equal(t, 1, countDots(text))
		}
	})
}

func countDots(s string) int {
	n := 0
	for _, c := range s {
		if c == '.' {
			n++
		}
	}
	return n
}
