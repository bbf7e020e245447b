package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pollencourse/pollencourse/internal/config/routing"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/route/forward"
)

// Fields is what the header of a request says.
type Fields struct {
	RequestID string
	Key       string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout     time.Duration
	Session     string
	LastEventID string
	Prompt      forward.Prompt
	// Forward holds the header fields to send on to the backend server.
	Forward http.Header
}

// Codec translates header fields.
type Codec interface {
	Decode(h http.Header) (Fields, error)
	SetRequestID(h http.Header, id string)
	SetRetryAfter(h http.Header, d time.Duration)
}

// Router answers requests.
type Router interface {
	Serve(ctx context.Context, req *forward.Request, w http.ResponseWriter) error
}

// Tables holds the configuration in force.
type Tables interface {
	Current() *routing.Table
	// Await returns the first configuration, or nil if ctx ends before.
	Await(ctx context.Context) *routing.Table
}

// Config is what the server is built from.
type Config struct {
	Listener net.Listener
	Codec    Codec
	Router   Router
	Tables   Tables
	// Leave takes the daemon off the lists of entry addresses.
	Leave func()
	// ListLifetime is how long callers keep those lists.
	ListLifetime time.Duration
	// Grace is the time from the order to stop until the process is killed.
	Grace   time.Duration
	Metrics tally.Scope
	Log     *event.Log
}

const (
	// idleTimeout is far above the idle limit of any configuration, so that callers close first.
	idleTimeout = 10 * time.Minute
	// headerTimeout and bodyTimeout bound slow callers; the configuration's limits are a few seconds.
	headerTimeout = 10 * time.Second
	bodyTimeout   = 15 * time.Second
	// maxHeaderBytes bounds the header before a configuration is known.
	maxHeaderBytes = 64 << 10
	// defaultBody bounds a body where the configuration does not.
	defaultBody = 4 << 20
)

// Server serves callers.
type Server struct {
	cfg      Config
	http     *http.Server
	inFlight atomic.Int64
	// leaving is when the daemon began to stop; nil while it serves.
	leaving atomic.Pointer[time.Time]
	ends    ends
}

// New returns a server that does not serve yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.http = &http.Server{
		Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: log.New(io.Discard, "", 0),
	}
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.leaving.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	tw := &tracked{ResponseWriter: w}
	req, err := s.read(tw, r, arrived)
	if err == nil {
		err = s.cfg.Router.Serve(r.Context(), req, tw)
	} else {
		s.cfg.Log.Emit(event.RequestFailed, "request", idOf(req), "host", r.Host, "path", r.URL.Path, "kind", string(fault.KindOf(err)), "error", err.Error())
	}
	s.finish(req, arrived, err)
	if err == nil {
		return
	}
	if tw.begun {
		panic(http.ErrAbortHandler) // the caller must see that the answer is cut
	}
	s.writeError(w, err, idOf(req))
}

func idOf(req *forward.Request) string {
	if req == nil {
		return ""
	}
	return req.ID
}

// read matches the route and the account and reads the body; the request is not nil once its ID is known.
func (s *Server) read(w http.ResponseWriter, r *http.Request, arrived time.Time) (*forward.Request, error) {
	f, err := s.cfg.Codec.Decode(r.Header)
	if err != nil {
		return nil, err
	}
	req := &forward.Request{
		ID: f.RequestID, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: f.Forward,
		Arrived: arrived, Prompt: f.Prompt, Session: f.Session, LastEventID: f.LastEventID,
	}
	t := s.table(r.Context(), f.Timeout)
	if t == nil {
		return req, fault.New(fault.Unavailable, "use another entry VM", "this daemon has no configuration yet").WithRetryAfter(unconfiguredPause)
	}
	req.Revision = t.Revision
	if err := match(t, req, f); err != nil {
		return req, err
	}
	req.Deadline = arrived.Add(req.Route.Timeout)
	if f.Timeout > 0 && f.Timeout < req.Route.Timeout {
		req.Deadline = arrived.Add(f.Timeout)
	}
	if err := s.finishable(req); err != nil {
		return req, err
	}
	req.Body, err = readBody(w, r, t.Limits)
	return req, err
}

const (
	// waitPart is the part of a caller's time that may pass until a daemon that has just started is configured.
	waitPart = 8
	// longestWait bounds that time.
	longestWait = 2 * time.Second
)

// table returns the configuration in force; a daemon that has just started waits for it for a moment.
func (s *Server) table(ctx context.Context, left time.Duration) *routing.Table {
	if t := s.cfg.Tables.Current(); t != nil {
		return t
	}
	ctx, cancel := context.WithTimeout(ctx, min(left/waitPart, longestWait))
	defer cancel()
	return s.cfg.Tables.Await(ctx)
}

// unconfiguredPause is when a caller may come back to a daemon without a configuration.
const unconfiguredPause = time.Second

// match finds the route, the service and the client account.
func match(t *routing.Table, req *forward.Request, f Fields) error {
	path, _, _ := strings.Cut(req.Target, "?")
	if !strings.HasPrefix(path, "/") {
		return fault.New(fault.BadRequest, "send an absolute path", "target %q is not a path", req.Target)
	}
	route, ok := t.Match(hostName(req.Host), path)
	if !ok {
		return fault.New(fault.NotFound, "check host and path against the routes", "no route for %s%s at revision %d", req.Host, path, t.Revision)
	}
	req.Route, req.Priority = route, route.Priority
	req.Service = pick(route.Backends, req.ID)
	if !t.NeedsKey() || route.Public {
		return nil
	}
	account, ok := t.Account(f.Key)
	if !ok {
		return fault.New(fault.Unauthorized, "send a key of the client account", "the key is not known at revision %d", t.Revision)
	}
	req.Account = account.Name
	if account.Priority != nil {
		req.Priority = *account.Priority
	}
	return nil
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// finishable refuses what could not end before a leaving daemon is killed.
func (s *Server) finishable(req *forward.Request) error {
	left := s.leaving.Load()
	if left == nil {
		return nil
	}
	latest := s.cfg.Grace - exitMargin - time.Until(req.Deadline)
	if req.Route.Kind == routing.Streaming {
		latest = lastStream
	}
	if time.Since(*left) < latest {
		return nil
	}
	return fault.New(fault.Unavailable, "use another entry VM", "this daemon is leaving").WithRetryAfter(leavingPause)
}

// leavingPause is when a caller may come back, at another entry VM.
const leavingPause = 50 * time.Millisecond

func readBody(w http.ResponseWriter, r *http.Request, limits routing.Limits) ([]byte, error) {
	bound := int64(limits.MaxBodyBytes)
	if bound <= 0 {
		bound = defaultBody
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only on a connection that is closed
	var body []byte
	var err error
	if r.ContentLength > 0 && r.ContentLength <= bound {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, bound))
	}
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.TooLarge, "send a smaller body", "the body exceeds %d bytes", bound)
	case err != nil:
		return nil, fault.New(fault.BadRequest, "send the whole body within 15 s", "the body was cut or too slow").WithCause(err)
	default:
		return body, nil
	}
}

// writeError answers with a status of the router's own.
func (s *Server) writeError(w http.ResponseWriter, err error, id string) {
	e := fault.As(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if id != "" {
		s.cfg.Codec.SetRequestID(h, id)
	}
	status := e.Kind.Status()
	if promisesNotRun(status) && e.Outcome != fault.NotRun {
		status = http.StatusBadGateway
	}
	if e.RetryAfter > 0 && promisesNotRun(status) {
		s.cfg.Codec.SetRetryAfter(h, e.RetryAfter)
	}
	w.WriteHeader(status)
	body := struct {
		Kind    fault.Kind    `json:"kind"`
		Message string        `json:"message"`
		Remedy  string        `json:"remedy"`
		Outcome fault.Outcome `json:"outcome"`
	}{e.Kind, e.Message, e.Remedy, e.Outcome}
	_ = json.NewEncoder(w).Encode(body) // a caller that left needs no error
}

// promisesNotRun reports whether a status tells the caller that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// tracked knows whether an answer has begun.
type tracked struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader begins the answer.
func (t *tracked) WriteHeader(status int) {
	t.begun = true
	t.ResponseWriter.WriteHeader(status)
}

// Unwrap lets the response controller reach the connection.
func (t *tracked) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// Dump shows the requests in flight.
func (s *Server) Dump() any {
	return struct {
		InFlight int64 `json:"inFlight"`
		Leaving  bool  `json:"leaving"`
	}{s.inFlight.Load(), s.leaving.Load() != nil}
}
