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

// Token is the content of a session token.
type Token struct {
	Template string `json:"template"`
	Account  string `json:"account"`
	Version  string `json:"version"`
	// Expires is the time of expiry in Unix seconds.
	Expires int64 `json:"expires"`
}

// Signer signs and verifies tokens.
type Signer struct {
	keys     [][]byte
	lifetime time.Duration
}

// New returns a signer whose tokens are valid for lifetime; the first key signs and every key verifies.
func New(keys []string, lifetime time.Duration) *Signer {
	s := &Signer{lifetime: lifetime}
	for _, k := range keys {
		s.keys = append(s.keys, []byte(k))
	}
	return s
}

// Sign encodes and signs a token that expires after the lifetime of the signer.
func (s *Signer) Sign(t Token) string {
	t.Expires = time.Now().Add(s.lifetime).Unix()
	content, _ := json.Marshal(t)
	payload := base64.RawURLEncoding.EncodeToString(content)
	return payload + "." + base64.RawURLEncoding.EncodeToString(mac(s.keys[0], payload))
}

// Verify decodes a token that one of the keys has signed and that has not expired.
func (s *Signer) Verify(text string) (Token, error) {
	payload, encodedSignature, ok := strings.Cut(text, ".")
	signature, err := base64.RawURLEncoding.DecodeString(encodedSignature)
	if !ok || err != nil || !s.validSignature(payload, signature) {
		return Token{}, fault.New(fault.BadRequest, "send the session token unchanged, or \"new\" to start a session", "session token is not valid: it is malformed or not signed with a key of this fleet")
	}
	content, err := base64.RawURLEncoding.DecodeString(payload)
	var t Token
	if err != nil || json.Unmarshal(content, &t) != nil {
		return Token{}, fault.New(fault.BadRequest, "send \"new\" in Pollencourse-Session to start a session", "session token is signed but can't be decoded")
	}
	if time.Now().Unix() > t.Expires {
		return Token{}, fault.New(fault.BadRequest, "send \"new\" in Pollencourse-Session to start a session", "session token has expired")
	}
	return t, nil
}

func (s *Signer) validSignature(payload string, signature []byte) bool {
	for _, k := range s.keys {
		if hmac.Equal(signature, mac(k, payload)) {
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
