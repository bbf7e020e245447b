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

// ChatRouter answers model requests.
type ChatRouter interface {
	Serve(ctx context.Context, req *chat.Request, w chat.ResponseWriter) error
}

// ServiceRouter answers calls of plain services.
type ServiceRouter interface {
	Serve(ctx context.Context, req *service.Request) (*service.Response, error)
}

// Membership lets the daemon leave the list of entry VMs.
type Membership interface {
	Leave()
}

// Config is what the server is built from.
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
	// Accepts returns an error while no new work can be taken.
	Accepts func() error
	// Ready reports whether a configuration is in force.
	Ready   func() bool
	Metrics tally.Scope
	Log     *event.Log
}

// Server serves callers.
type Server struct {
	cfg      Config
	limits   *limits
	http     *http.Server
	inFlight atomic.Int64
	leaving  atomic.Bool
	ends     ends
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, limits: &limits{demand: cfg.Demand, buckets: map[string]*rate.Limiter{}}}
	s.http = &http.Server{
		Handler: s.closeWhenLeaving(s.routes()), ReadHeaderTimeout: cfg.Limits.HeaderTimeout,
		MaxHeaderBytes: cfg.Limits.MaxHeaderBytes, IdleTimeout: idleTimeout,
		ErrorLog: silent(),
	}
	return s
}

// spreadTime is how long other daemons may go on listing this one after it left.
const spreadTime = time.Second

const (
	idleTimeout = 2 * time.Minute
	bodyTimeout = 30 * time.Second
)

// closeWhenLeaving ends each kept connection after its answer once the daemon is leaving. Idle
// ones are left open, since a request may be on its way over them.
func (s *Server) closeWhenLeaving(next http.Handler) http.Handler {
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
		writeError(w, fault.New(fault.NotFound, "see the README for the paths", "no path %s %s", r.Method, r.URL.Path), "")
	})
	return mux
}

// Run serves until ctx ends, then shuts down without cutting a request.
func (s *Server) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(netutil.LimitListener(s.cfg.Listener, s.cfg.Limits.MaxConnections)) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	s.cfg.Log.Emit(event.DaemonStopping, "inFlight", s.inFlight.Load())
	s.leaving.Store(true)
	s.cfg.Membership.Leave()
	time.Sleep(s.cfg.EntriesLifetime + spreadTime)
	if err := s.http.Shutdown(context.Background()); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.cfg.Ready() || s.leaving.Load() {
		writeError(w, fault.New(fault.Unavailable, "use another entry VM", "this daemon is not ready"), "")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// admit does what all requests have in common and returns the caller's policy.
func (s *Server) admit(r *http.Request) (*template.Policy, error) {
	if !s.cfg.Ready() {
		return nil, fault.New(fault.Unavailable, "use another entry VM", "this daemon has no configuration yet")
	}
	p, err := policyOf(s.cfg, r)
	if err != nil {
		return nil, err
	}
	if err := s.cfg.Accepts(); err != nil {
		return nil, err
	}
	return p, s.limits.take(p)
}

// readBody reads a body within the bounds of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.cfg.Limits.MaxBodyBytes)))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.TooLarge, "send a smaller body", "body exceeds %d bytes", s.cfg.Limits.MaxBodyBytes)
	case err != nil:
		return nil, fault.New(fault.BadRequest, "send the whole body within 30 s", "body was cut or too slow").WithCause(err)
	}
	return body, nil
}

// finish counts a request's end.
func (s *Server) finish(kind string, began time.Time, err error) {
	s.inFlight.Add(-1)
	result := "whole"
	if err != nil {
		result = string(fault.KindOf(err))
	}
	m := s.ends.of(s.cfg.Metrics, end{kind, result})
	m.requests.Inc(1)
	m.latency.Record(time.Since(began))
}

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	s.inFlight.Add(1)
	id, _, err := requestID(r)
	if err == nil {
		err = s.chat(w, r, id)
	} else {
		writeError(w, err, "")
	}
	s.finish("chat", began, err)
}

// chat answers a model request; an error is already written when it returns.
func (s *Server) chat(w http.ResponseWriter, r *http.Request, id string) error {
	req, err := s.chatRequest(w, r, id)
	if err != nil {
		writeError(w, err, id)
		return err
	}
	a := newAnswer(w, s.cfg.Limits.WriteTimeout, func(h http.Header, version string) {
		h.Set(RequestIDHeader, id)
		if r.Header.Get(SessionHeader) != "" {
			h.Set(SessionHeader, s.cfg.Sessions.Sign(session.Token{Template: req.Policy.Template, Account: req.Policy.Account, Version: version}))
		}
	})
	err = s.cfg.Chat.Serve(r.Context(), req, a)
	switch {
	case err == nil:
		a.finish()
	case a.begun:
		a.fail(err, id)
	default:
		writeError(w, err, id)
	}
	return err
}

func (s *Server) chatRequest(w http.ResponseWriter, r *http.Request, id string) (*chat.Request, error) {
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
		MaySettle: r.Header.Get(SettleHeader) == "true", Chat: parsed,
	}, nil
}

func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	s.inFlight.Add(1)
	id, own, err := requestID(r)
	var a *service.Response
	if err == nil {
		a, err = s.service(w, r, id, own)
	}
	if err != nil {
		writeError(w, err, id)
	} else {
		writeService(w, a, id)
	}
	s.finish("service", began, err)
}

func (s *Server) service(w http.ResponseWriter, r *http.Request, id string, own bool) (*service.Response, error) {
	p, err := s.admit(r)
	if err != nil {
		return nil, err
	}
	svc, ok := p.Services[r.PathValue("service")]
	if !ok {
		return nil, fault.New(fault.NotAllowed, "name a service of the template", "template %s allows no service %q", p.Template, r.PathValue("service"))
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
		Policy: p, Service: svc, RequestID: id, CallerChoseID: own, Deadline: deadline, Priority: priority,
		Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Body: body,
	})
}

// servicePriority is the priority of calls of plain services.
const servicePriority = 5

func writeService(w http.ResponseWriter, a *service.Response, id string) {
	h := w.Header()
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set(RequestIDHeader, id)
	if a.Recorded {
		h.Set(RecordedHeader, "true")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
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

// Dump shows the requests in flight.
func (s *Server) Dump() any {
	return struct {
		InFlight int64 `json:"inFlight"`
		Leaving  bool  `json:"leaving"`
	}{s.inFlight.Load(), s.leaving.Load()}
}
