package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/distribute"
	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/fleet/charge"
	"github.com/pollencourse/pollencourse/internal/fleet/intent"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
)

// Editor stores edits of templates and lists their history.
type Editor interface {
	// Apply stores the text of a template if its revision is still base, and returns the new revision.
	Apply(ctx context.Context, name string, text []byte, base int64, by string) (int64, error)
	History(ctx context.Context, name string) ([]distribute.Edit, error)
}

// InForce gives access to the templates in force on this daemon.
type InForce interface {
	Templates() []*template.Template
}

// Acks tells which live daemons do not have a revision of a template in force yet.
type Acks interface {
	// Wait returns nil once every live daemon has the revision in force. If ctx ends first, it returns the daemons that
	// are not known to have it in force.
	Wait(ctx context.Context, name string, revision int64) []string
	// Behind returns the live daemons that are not known to have the revision in force.
	Behind(name string, revision int64) []string
}

// Members lists the daemons of the fleet.
type Members interface {
	Members() []member.Member
}

// Intents lists the non-idempotent requests whose outcome is not settled.
type Intents interface {
	List(ctx context.Context) ([]intent.Record, error)
}

// Config holds the dependencies of a Server.
type Config struct {
	Listener net.Listener
	// Key is the operator key that every request has to carry; if it is empty, none is checked.
	Key     string
	Editor  Editor
	InForce InForce
	Acks    Acks
	Members Members
	Intents Intents
	// Bill returns the stored charges, merged so that each request has one.
	Bill    func(ctx context.Context) (charge.Bill, error)
	Dump    func() map[string]any
	Metrics http.Handler
	Ready   func() bool
	Version string
}

// Server serves operators over HTTP.
type Server struct {
	cfg  Config
	http *http.Server
}

const (
	headerTimeout    = 5 * time.Second
	shutdownTimeout  = 2 * time.Second
	defaultApplyWait = 10 * time.Second
	maxApplyWait     = 5 * time.Minute
	maxTemplateBytes = 1 << 20
)

// New returns a server; Run starts it.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.http = &http.Server{Handler: s.requireOperatorKey(s.routes()), ReadHeaderTimeout: headerTimeout, ErrorLog: stdlog.New(io.Discard, "", 0)}
	return s
}

func (s *Server) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/templates", s.handleList)
	mux.HandleFunc("GET /v1/templates/{name}", s.handleGet)
	mux.HandleFunc("PUT /v1/templates/{name}", s.handleApply)
	mux.HandleFunc("GET /v1/templates/{name}/history", s.handleHistory)
	mux.HandleFunc("GET /v1/charges", s.handleCharges)
	mux.HandleFunc("GET /v1/intents", s.handleIntents)
	mux.HandleFunc("GET /v1/status", s.handleStatus)
	mux.HandleFunc("GET /v1/dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.cfg.Dump()) })
	mux.Handle("GET /metrics", s.cfg.Metrics)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

func (s *Server) requireOperatorKey(next http.Handler) http.Handler {
	want := []byte("Bearer " + s.cfg.Key)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.cfg.Key != "" && subtle.ConstantTimeCompare(want, []byte(r.Header.Get("Authorization"))) != 1 {
			writeError(w, fault.New(fault.Unauthorized, "send the operatorKey of the settings as Authorization: Bearer KEY, or pass it in --operator-key on the command line", "the operator key is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Run serves until ctx ends, then gives the requests in flight a short time to finish.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if s.http.Shutdown(ctx) != nil {
			_ = s.http.Close()
		}
	})
	defer stop()
	if err := s.http.Serve(s.cfg.Listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// TemplateInfo describes one template in force.
type TemplateInfo struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Accounts int    `json:"accounts"`
	// Behind names the live daemons that are not known to have this revision in force.
	Behind []string `json:"behind"`
}

func (s *Server) handleList(w http.ResponseWriter, _ *http.Request) {
	out := []TemplateInfo{}
	for _, t := range s.cfg.InForce.Templates() {
		out = append(out, TemplateInfo{t.Name, t.Revision, len(t.Accounts), s.cfg.Acks.Behind(t.Name, t.Revision)})
	}
	writeJSON(w, out)
}

// TemplateText is a template in force with its text.
type TemplateText struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Text     string `json:"text"`
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	for _, t := range s.cfg.InForce.Templates() {
		if t.Name == r.PathValue("name") {
			writeJSON(w, TemplateText{t.Name, t.Revision, string(t.Text)})
			return
		}
	}
	writeError(w, fault.New(fault.NotFound, "list the templates to see their names", "no template %q is in force on this daemon", r.PathValue("name")))
}

// Applied is the response to an accepted edit.
type Applied struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	// Behind names the live daemons that did not have the revision in force when the wait ended.
	Behind []string `json:"behind"`
	// Milliseconds is the time from acceptance until every live daemon had the revision in force, or until the wait ended.
	Milliseconds int64 `json:"milliseconds"`
}

func (s *Server) handleApply(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTemplateBytes))
	if err != nil {
		writeError(w, fault.New(fault.TooLarge, "split the template if it is larger than 1 MiB, otherwise send it again", "the template exceeds the limit of 1 MiB, or its upload was truncated").WithCause(err))
		return
	}
	base, wait, err := applyParams(r)
	if err != nil {
		writeError(w, err)
		return
	}
	name := r.PathValue("name")
	revision, err := s.cfg.Editor.Apply(r.Context(), name, text, base, r.FormValue("by"))
	if err != nil {
		writeError(w, err)
		return
	}
	accepted := time.Now()
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	behind := s.cfg.Acks.Wait(ctx, name, revision)
	writeJSON(w, Applied{Name: name, Revision: revision, Behind: behind, Milliseconds: time.Since(accepted).Milliseconds()})
}

func applyParams(r *http.Request) (base int64, wait time.Duration, err error) {
	wait = defaultApplyWait
	if text := r.FormValue("base"); text != "" {
		if base, err = strconv.ParseInt(text, 10, 64); err != nil || base < 0 {
			return 0, 0, fault.New(fault.BadRequest, "set base to the revision that you edited, or to 0 for a new template", "base %q is not a revision number", text)
		}
	}
	if text := r.FormValue("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil || wait < 0 || wait > maxApplyWait {
			return 0, 0, fault.New(fault.BadRequest, "set wait to a duration such as 10s, up to 5m", "wait %q is not a duration from 0s to 5m", text)
		}
	}
	return base, wait, nil
}

func (s *Server) handleHistory(w http.ResponseWriter, r *http.Request) {
	edits, err := s.cfg.Editor.History(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, edits)
}

// ChargeLine is one charge as operators see it.
type ChargeLine struct {
	RequestID        string    `json:"requestID"`
	Account          string    `json:"account"`
	Template         string    `json:"template"`
	Class            string    `json:"class"`
	Version          string    `json:"version"`
	MicroUnits       int64     `json:"microUnits"`
	PromptTokens     int64     `json:"promptTokens"`
	CompletionTokens int64     `json:"completionTokens"`
	At               time.Time `json:"at"`
	Attempts         uint32    `json:"attempts"`
	Outcome          string    `json:"outcome"`
}

// Charges are the charges in the store, merged so that each request has one.
type Charges struct {
	Charges []ChargeLine `json:"charges"`
	// Merged counts the charges that were left out because another one for the same request is included.
	Merged int `json:"merged"`
}

func (s *Server) handleCharges(w http.ResponseWriter, r *http.Request) {
	bill, err := s.cfg.Bill(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	out := Charges{Charges: []ChargeLine{}, Merged: bill.Merged}
	account := r.FormValue("account")
	for _, c := range bill.Charges {
		if account != "" && c.GetAccount() != account {
			continue
		}
		out.Charges = append(out.Charges, ChargeLine{
			c.GetRequestId(), c.GetAccount(), c.GetTemplate(), c.GetClass(), c.GetVersion(), c.GetMicroUnits(),
			c.GetPromptTokens(), c.GetCompletionTokens(), time.UnixMilli(c.GetAtUnixMs()).UTC(), c.GetAttempts(), c.GetOutcome(),
		})
	}
	writeJSON(w, out)
}

func (s *Server) handleIntents(w http.ResponseWriter, r *http.Request) {
	records, err := s.cfg.Intents.List(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, records)
}

// Status is the state of the fleet as this daemon sees it.
type Status struct {
	Version   string          `json:"version"`
	Ready     bool            `json:"ready"`
	Templates []TemplateInfo  `json:"templates"`
	Daemons   []member.Member `json:"daemons"`
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	out := Status{Version: s.cfg.Version, Ready: s.cfg.Ready(), Daemons: s.cfg.Members.Members()}
	for _, t := range s.cfg.InForce.Templates() {
		out.Templates = append(out.Templates, TemplateInfo{t.Name, t.Revision, len(t.Accounts), s.cfg.Acks.Behind(t.Name, t.Revision)})
	}
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
	e := fault.As(err)
	message := e.Message
	if e.Cause != nil {
		message += ": " + e.Cause.Error()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Kind.Status())
	_ = json.NewEncoder(w).Encode(struct {
		Kind    fault.Kind    `json:"kind"`
		Message string        `json:"message"`
		Remedy  string        `json:"remedy"`
		Outcome fault.Outcome `json:"outcome"`
	}{e.Kind, message, e.Remedy, e.Outcome})
}
