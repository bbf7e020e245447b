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

// httpServer serves one of the addresses for the platform or for operators.
type httpServer struct {
	listener net.Listener
	http     *http.Server
}

const requestHeaderTimeout = 5 * time.Second

func newHTTPServer(l net.Listener, h http.Handler) *httpServer {
	return &httpServer{l, &http.Server{Handler: h, ReadHeaderTimeout: requestHeaderTimeout, ErrorLog: log.New(io.Discard, "", 0)}}
}

// Run serves until ctx ends.
func (s *httpServer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
