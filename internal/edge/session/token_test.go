package session

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTokensAreVerifiedByEveryKeyUntilTheyExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := New([]string{"old-key-0123456789"}, time.Hour)
		after := New([]string{"new-key-0123456789", "old-key-0123456789"}, time.Hour)
		text := before.Sign(Token{Template: "quotes", Account: "web", Version: "m@1"})
		got, err := after.Verify(text)
		require.NoError(t, err)
		require.Equal(t, "m@1", got.Version)
		_, err = before.Verify(after.Sign(Token{}))
		require.ErrorContains(t, err, "not valid")
		time.Sleep(time.Hour + 2*time.Second)
		_, err = after.Verify(text)
		require.ErrorContains(t, err, "expired")
	})
}

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
