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

	"github.com/pollencourse/pollencourse/internal/edge/intake"
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

// newCallerHTTPServer returns a server of an address that callers use; its connections count in the account of what they
// make the process hold.
func newCallerHTTPServer(l net.Listener, account *intake.Account, h http.Handler) *httpServer {
	s := newHTTPServer(intake.Listen(l, account), h)
	s.http.ConnContext, s.http.ConnState = intake.ConnContext, intake.ConnState
	s.http.MaxHeaderBytes = maxDirectoryHeaderBytes
	return s
}

// maxDirectoryHeaderBytes bounds a request for the list of daemons, which has no fields of its own.
const maxDirectoryHeaderBytes = 16 << 10

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
