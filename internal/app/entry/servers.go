package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

// server serves one of the platform's or operators' addresses.
type server struct {
	listener net.Listener
	http     *http.Server
}

const sideTimeout = 5 * time.Second

func newServer(l net.Listener, h http.Handler) *server {
	return &server{l, &http.Server{Handler: h, ReadHeaderTimeout: sideTimeout, ErrorLog: log.New(io.Discard, "", 0)}}
}

// Run serves until ctx ends.
func (s *server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // whoever asked has left
}
