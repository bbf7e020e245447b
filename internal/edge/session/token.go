package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Token is what a session remembers.
type Token struct {
	Template string `json:"template"`
	Account  string `json:"account"`
	Version  string `json:"version"`
	// Expires is in Unix seconds.
	Expires int64 `json:"expires"`
}

// Signer signs and verifies tokens.
type Signer struct {
	keys     [][]byte
	lifetime time.Duration
}

// New returns a signer; the first key signs.
func New(keys []string, lifetime time.Duration) *Signer {
	s := &Signer{lifetime: lifetime}
	for _, k := range keys {
		s.keys = append(s.keys, []byte(k))
	}
	return s
}

// Sign returns the token as text with a fresh lifetime.
func (s *Signer) Sign(t Token) string {
	t.Expires = time.Now().Add(s.lifetime).Unix()
	body, _ := json.Marshal(t)
	payload := base64.RawURLEncoding.EncodeToString(body)
	return payload + "." + base64.RawURLEncoding.EncodeToString(mac(s.keys[0], payload))
}

// Verify returns the token of a text that one of the keys signed and that has not expired.
func (s *Signer) Verify(text string) (Token, error) {
	payload, sig, ok := strings.Cut(text, ".")
	got, err := base64.RawURLEncoding.DecodeString(sig)
	if !ok || err != nil || !s.signed(payload, got) {
		return Token{}, fault.New(fault.BadRequest, "send the token as it was returned, or \"new\"", "session token is not valid")
	}
	body, err := base64.RawURLEncoding.DecodeString(payload)
	var t Token
	if err != nil || json.Unmarshal(body, &t) != nil {
		return Token{}, fault.New(fault.BadRequest, "start a session with \"new\"", "session token can't be read")
	}
	if time.Now().Unix() > t.Expires {
		return Token{}, fault.New(fault.BadRequest, "start a session with \"new\"", "session token has expired")
	}
	return t, nil
}

func (s *Signer) signed(payload string, got []byte) bool {
	for _, k := range s.keys {
		if hmac.Equal(got, mac(k, payload)) {
			return true
		}
	}
	return false
}

func mac(key []byte, payload string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte("session " + payload))
	return h.Sum(nil)
}
