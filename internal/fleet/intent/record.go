package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// State is the state of an intent in the store.
type State string

// The states of an intent.
const (
	Pending State = "pending"
	Done    State = "done"
)

// Record is an intent as it is stored.
type Record struct {
	Account     string    `json:"account"`
	RequestID   string    `json:"requestID"`
	Service     string    `json:"service"`
	Nonce       string    `json:"nonce"`
	Daemon      string    `json:"daemon"`
	Incarnation int64     `json:"incarnation"`
	BodyHash    string    `json:"bodyHash"`
	State       State     `json:"state"`
	Status      int       `json:"status,omitempty"`
	ContentType string    `json:"contentType,omitempty"`
	Body        []byte    `json:"body,omitempty"`
	At          time.Time `json:"at"`
}

// Request identifies a non-idempotent request.
type Request struct {
	Account   string
	RequestID string
	Service   string
	Body      []byte
}

// Response is the recorded response to a request that ran.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// storePrefix is the key prefix of intents in the store.
const storePrefix = "intents/"

func (r Request) storeKey() string {
	sum := sha256.Sum256([]byte(r.Account + "\x00" + r.RequestID))
	return storePrefix + hex.EncodeToString(sum[:])
}

func (r Request) bodyHash() string {
	sum := sha256.Sum256(append([]byte(r.Service+"\x00"), r.Body...))
	return hex.EncodeToString(sum[:])
}
