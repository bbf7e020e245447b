package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/net/netutil"
	"golang.org/x/time/rate"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/core/settings"
	"github.com/pollencourse/pollencourse/internal/edge/session"
	"github.com/pollencourse/pollencourse/internal/route/chat"
	"github.com/pollencourse/pollencourse/internal/route/service"
)

// ChatRouter sends model requests to backend servers and writes their responses.
type ChatRouter interface {
	Serve(ctx context.Context, req *chat.Request, w chat.ResponseWriter) error
}

// ServiceRouter sends calls of plain services to backend servers and returns their responses.
type ServiceRouter interface {
	Serve(ctx context.Context, req *service.Request) (*service.Response, error)
}

// Membership is the daemon's place in the fleet; Leave takes it off the list of entry VMs.
type Membership interface {
	Leave()
}

// Config holds the dependencies and limits of a Server.
type Config struct {
	Region          string
	Zone            string
	Listener        net.Listener
	Limits          settings.Limits
	EntriesLifetime time.Duration
	Policies        func(keyHash string) []*template.Policy
	Chat            ChatRouter
	Services        ServiceRouter
	Sessions        *session.Signer
	Demand          Demand
	Entries         Entries
	Membership      Membership
	// Accepts returns an error while the daemon can't accept new requests.
	Accepts func() error
	// Ready reports whether a configuration is in force.
	Ready   func() bool
	Metrics tally.Scope
	Log     *event.Log
}

// Server serves callers over HTTP.
type Server struct {
	cfg        Config
	rateLimits *rateLimits
	http       *http.Server
	inFlight   atomic.Int64
	leaving    atomic.Bool
	metrics    metricCache
}

// New returns a server; Run starts it.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, rateLimits: &rateLimits{demand: cfg.Demand, buckets: map[string]*rate.Limiter{}}}
	s.http = &http.Server{
		Handler: s.closeConnectionsWhenLeaving(s.routes()), ReadHeaderTimeout: cfg.Limits.HeaderTimeout,
		MaxHeaderBytes: cfg.Limits.MaxHeaderBytes, IdleTimeout: idleTimeout,
		ErrorLog: discardLogger(),
	}
	return s
}

// leavePropagationTime bounds how long other daemons go on listing this one after it has left.
const leavePropagationTime = time.Second

const (
	idleTimeout = 2 * time.Minute
	bodyTimeout = 30 * time.Second
)

// closeConnectionsWhenLeaving closes each connection after its next response once the daemon is leaving. Idle connections
// stay open, since a request may already be on its way over them.
func (s *Server) closeConnectionsWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.handleChat)
	mux.HandleFunc("/v1/services/{service}/{path...}", s.handleService)
	mux.HandleFunc("GET /v1/models", s.handleModels)
	mux.HandleFunc("GET /v1/entries", s.handleEntries)
	mux.HandleFunc("GET /readyz", s.handleReady)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, fault.New(fault.NotFound, "see the README for the paths", "no such path: %s %s", r.Method, r.URL.Path), "")
	})
	return mux
}

// Run serves until ctx ends. It then leaves the list of entry VMs, goes on serving until earlier lists have expired and
// finishes the requests in flight.
func (s *Server) Run(ctx context.Context) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.http.Serve(netutil.LimitListener(s.cfg.Listener, s.cfg.Limits.MaxConnections)) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	s.cfg.Log.Emit(event.DaemonStopping, "inFlight", s.inFlight.Load())
	s.leaving.Store(true)
	s.cfg.Membership.Leave()
	time.Sleep(s.cfg.EntriesLifetime + leavePropagationTime)
	if err := s.http.Shutdown(context.Background()); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.cfg.Ready() || s.leaving.Load() {
		writeError(w, fault.New(fault.Unavailable, "send requests to another entry VM", "this daemon is not ready: it has no configuration yet or is shutting down"), "")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// admit authenticates a request, checks that the daemon accepts it and that the account is within its limit, and returns
// the caller's policy.
func (s *Server) admit(r *http.Request) (*template.Policy, error) {
	if !s.cfg.Ready() {
		return nil, fault.New(fault.Unavailable, "send the request to another entry VM", "this daemon has not received a configuration yet")
	}
	p, err := policyOf(s.cfg, r)
	if err != nil {
		return nil, err
	}
	if err := s.cfg.Accepts(); err != nil {
		return nil, err
	}
	return p, s.rateLimits.takeToken(p)
}

// readBody reads a request body within the limits of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.cfg.Limits.MaxBodyBytes)))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.TooLarge, "send a body within this limit", "request body exceeds the limit of %d bytes", s.cfg.Limits.MaxBodyBytes)
	case err != nil:
		return nil, fault.New(fault.BadRequest, "send the complete body within 30 s", "request body truncated, or not received within 30 s").WithCause(err)
	}
	return body, nil
}

// recordResult counts a finished request and records its latency.
func (s *Server) recordResult(kind string, began time.Time, err error) {
	s.inFlight.Add(-1)
	result := "whole"
	if err != nil {
		result = string(fault.KindOf(err))
	}
	m := s.metrics.get(s.cfg.Metrics, metricLabels{kind, result})
	m.requests.Inc(1)
	m.latency.Record(time.Since(began))
}

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	s.inFlight.Add(1)
	id, _, err := requestID(r)
	if err == nil {
		err = s.serveChat(w, r, id)
	} else {
		writeError(w, err, "")
	}
	s.recordResult("chat", began, err)
}

// serveChat serves a model request; an error that it returns has already been written to the caller.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, id string) error {
	req, err := s.readChatRequest(w, r, id)
	if err != nil {
		writeError(w, err, id)
		return err
	}
	resp := newChatResponse(w, s.cfg.Limits.WriteTimeout, func(h http.Header, version string) {
		h.Set(RequestIDHeader, id)
		if r.Header.Get(SessionHeader) != "" {
			h.Set(SessionHeader, s.cfg.Sessions.Sign(session.Token{Template: req.Policy.Template, Account: req.Policy.Account, Version: version}))
		}
	})
	err = s.cfg.Chat.Serve(r.Context(), req, resp)
	switch {
	case err == nil:
		resp.finish()
	case resp.started:
		resp.fail(err, id)
	default:
		writeError(w, err, id)
	}
	return err
}

func (s *Server) readChatRequest(w http.ResponseWriter, r *http.Request, id string) (*chat.Request, error) {
	p, err := s.admit(r)
	if err != nil {
		return nil, err
	}
	class, err := classOf(p, r)
	if err != nil {
		return nil, err
	}
	deadline, err := deadlineOf(r, class.Timeout)
	if err != nil {
		return nil, err
	}
	priority, err := priorityOf(r, class.Priority)
	if err != nil {
		return nil, err
	}
	version, err := sessionVersion(s.cfg.Sessions, p, r)
	if err != nil {
		return nil, err
	}
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	parsed, err := chat.ParseChat(body)
	if err != nil {
		return nil, err
	}
	return &chat.Request{
		Policy: p, Class: class, RequestID: id, SessionVersion: version, Deadline: deadline, Priority: priority,
		MaySettle: r.Header.Get(MaySettleHeader) == "true", Chat: parsed,
	}, nil
}

func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	s.inFlight.Add(1)
	id, callerChose, err := requestID(r)
	var resp *service.Response
	if err == nil {
		resp, err = s.serveService(w, r, id, callerChose)
	}
	if err != nil {
		writeError(w, err, id)
	} else {
		writeServiceResponse(w, resp, id)
	}
	s.recordResult("service", began, err)
}

func (s *Server) serveService(w http.ResponseWriter, r *http.Request, id string, callerChose bool) (*service.Response, error) {
	p, err := s.admit(r)
	if err != nil {
		return nil, err
	}
	svc, ok := p.Services[r.PathValue("service")]
	if !ok {
		return nil, fault.New(fault.NotAllowed, "call a service that the template lists", "template %s does not list service %q", p.Template, r.PathValue("service"))
	}
	deadline, err := deadlineOf(r, svc.Timeout)
	if err != nil {
		return nil, err
	}
	priority, err := priorityOf(r, servicePriority)
	if err != nil {
		return nil, err
	}
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return s.cfg.Services.Serve(r.Context(), &service.Request{
		Policy: p, Service: svc, RequestID: id, CallerChoseID: callerChose, Deadline: deadline, Priority: priority,
		Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Body: body,
	})
}

// servicePriority is the highest priority of calls of plain services, and the default.
const servicePriority = 5

func writeServiceResponse(w http.ResponseWriter, resp *service.Response, id string) {
	h := w.Header()
	if resp.ContentType != "" {
		h.Set("Content-Type", resp.ContentType)
	}
	h.Set(RequestIDHeader, id)
	if resp.Recorded {
		h.Set(RecordedHeader, "true")
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}

// handleModels lists the models and versions that the caller may name.
func (s *Server) handleModels(w http.ResponseWriter, r *http.Request) {
	p, err := policyOf(s.cfg, r)
	if err != nil {
		writeError(w, err, "")
		return
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	out := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{{"auto", "model"}}}
	for _, v := range p.Versions {
		if p.Allows(v.ID, false) {
			out.Data = append(out.Data, model{v.ID, "model"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// Dump returns the number of requests in flight and whether the daemon is leaving.
func (s *Server) Dump() any {
	return struct {
		InFlight int64 `json:"inFlight"`
		Leaving  bool  `json:"leaving"`
	}{s.inFlight.Load(), s.leaving.Load()}
}
