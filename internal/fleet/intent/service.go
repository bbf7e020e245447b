package intent

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/external/store"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

const serviceQuery = "intent.query"

// queryTimeout is how long the daemon that wrote an intent may take to say what became of it.
const queryTimeout = 500 * time.Millisecond

// Objects is what intents need of the store.
type Objects interface {
	Get(ctx context.Context, key string) (store.Object, error)
	Create(ctx context.Context, key string, body []byte) (int64, error)
	Update(ctx context.Context, key string, body []byte, version int64) (int64, error)
	Delete(ctx context.Context, key string, version int64) error
	ListAll(ctx context.Context, prefix string) (store.Page, error)
}

// Caller calls services of other daemons.
type Caller interface {
	Self() peer.Node
	Call(ctx context.Context, to peer.Node, service string, req, resp proto.Message) error
	Handle(service string, fn peer.Handler)
}

// Members is what intents need of the membership.
type Members interface {
	Members() []member.Member
}

// Service writes and settles intents.
type Service struct {
	objects Objects
	calls   Caller
	members Members
	log     *event.Log

	mu sync.Mutex
	// active holds the intents of this daemon that are not settled in the store, by nonce.
	active map[string]*Intent
}

// New returns a service without intents.
func New(objects Objects, calls Caller, members Members, log *event.Log) *Service {
	s := &Service{objects: objects, calls: calls, members: members, log: log, active: map[string]*Intent{}}
	calls.Handle(serviceQuery, s.handleQuery)
	return s
}

// phase is what this daemon knows of its own intent.
type phase string

const (
	running  phase = "running"
	released phase = "released"
	answered phase = "answered"
)

// Intent is the right to send one request once.
type Intent struct {
	service *Service
	key     string
	record  Record
	phase   phase

	// settling serialises writes of the intent's end and guards version.
	settling sync.Mutex
	version  int64
}

// Begin creates the intent of a request, or returns the answer that was recorded for it.
//
// Errors: inProgress while another daemon runs it, outcomeLost if it may have run,
// conflict if the ID was used for another request, unavailable if the store is down;
// only with outcome notRun is it sure that the request did not run.
func (s *Service) Begin(ctx context.Context, req Request) (*Intent, *Response, error) {
	self := s.calls.Self()
	in := &Intent{service: s, key: req.key(), phase: running, record: Record{
		Account: req.Account, RequestID: req.RequestID, Service: req.Service, Nonce: uuid.NewString(),
		Daemon: self.ID, Incarnation: self.Incarnation, BodyHash: req.bodyHash(), State: Pending, At: time.Now().UTC(),
	}}
	s.track(in)
	answer, err := s.claim(ctx, in)
	if err != nil || answer != nil {
		s.drop(in)
		return nil, answer, err
	}
	return in, nil, nil
}

func (s *Service) track(in *Intent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[in.record.Nonce] = in
}

// drop forgets an intent unless it still has to be settled in the store.
func (s *Service) drop(in *Intent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.phase == running {
		delete(s.active, in.record.Nonce)
	}
}

// claim creates the record; an answer means that the request already ran.
func (s *Service) claim(ctx context.Context, in *Intent) (*Response, error) {
	body, err := json.Marshal(in.record)
	if err != nil {
		return nil, err
	}
	version, err := s.objects.Create(ctx, in.key, body)
	switch {
	case err == nil:
		in.version = version
		return nil, nil
	case errors.Is(err, store.ErrConflict):
		return s.meet(ctx, in)
	case errors.Is(err, store.ErrAmbiguous):
		return s.readBack(ctx, in, err)
	default:
		return nil, notRun(err)
	}
}

func notRun(err error) error {
	return fault.New(fault.Unavailable, "send it again with the same request ID", "the store is not available, so the request was not run").WithCause(err)
}

// readBack finds out whether a create whose answer was lost took effect.
func (s *Service) readBack(ctx context.Context, in *Intent, cause error) (*Response, error) {
	existing, version, err := s.read(ctx, in.key)
	switch {
	case err == nil && existing.Nonce == in.record.Nonce:
		in.version = version
		return nil, nil
	case err == nil:
		return s.judge(ctx, in, existing, version)
	default:
		// The intent may stand in the store; it was not sent and is released later.
		s.setPhase(in, released)
		return nil, notRun(cause)
	}
}

func (s *Service) setPhase(in *Intent, p phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in.phase = p
}

func (s *Service) read(ctx context.Context, key string) (Record, int64, error) {
	o, err := s.objects.Get(ctx, key)
	if err != nil {
		return Record{}, 0, err
	}
	var r Record
	if err := json.Unmarshal(o.Body, &r); err != nil {
		return Record{}, 0, fault.New(fault.Internal, "look at the object in the store", "intent %s can't be read", key).WithCause(err).WithOutcome(fault.Unknown)
	}
	return r, o.Version, nil
}

// meet handles a request whose ID already has an intent.
func (s *Service) meet(ctx context.Context, in *Intent) (*Response, error) {
	existing, version, err := s.read(ctx, in.key)
	if errors.Is(err, store.ErrNotFound) {
		return nil, inProgress("the intent was just released")
	}
	if err != nil {
		return nil, fault.New(fault.Unavailable, "ask again with the same request ID", "the store can't tell whether the request ran").
			WithCause(err).WithOutcome(fault.Unknown)
	}
	return s.judge(ctx, in, existing, version)
}

func (s *Service) judge(ctx context.Context, in *Intent, existing Record, version int64) (*Response, error) {
	switch {
	case existing.Nonce == in.record.Nonce:
		in.version = version
		return nil, nil
	case existing.BodyHash != in.record.BodyHash:
		return nil, fault.New(fault.Conflict, "use a new request ID for another request", "request ID %q was used for another request", in.record.RequestID)
	case existing.State == Done:
		return &Response{Status: existing.Status, ContentType: existing.ContentType, Body: existing.Body}, nil
	default:
		return s.askOwner(ctx, in, existing, version)
	}
}

// askOwner asks the daemon that wrote a pending intent what became of it.
func (s *Service) askOwner(ctx context.Context, in *Intent, existing Record, version int64) (*Response, error) {
	var state peerpb.IntentState
	if err := s.query(ctx, existing, &state); err != nil {
		s.log.Emit(event.IntentUnknown, "account", existing.Account, "requestID", existing.RequestID, "daemon", existing.Daemon)
		return nil, fault.New(fault.OutcomeLost, "ask the service whether the request ran before using a new request ID",
			"daemon %s may have sent the request and does not answer", existing.Daemon).WithCause(err).WithOutcome(fault.Unknown)
	}
	switch phase(state.GetState()) {
	case answered:
		return &Response{Status: int(state.GetStatus()), ContentType: state.GetContentType(), Body: state.GetBody()}, nil
	case released:
		return nil, s.takeOver(ctx, in, version)
	case running:
		return nil, inProgress("daemon " + existing.Daemon + " is running it")
	default:
		return nil, fault.New(fault.OutcomeLost, "ask the service whether the request ran before using a new request ID",
			"the outcome of the request was lost").WithOutcome(fault.Unknown)
	}
}

func inProgress(why string) error {
	return fault.New(fault.InProgress, "ask again with the same request ID in a moment", "the request is in progress: %s", why).WithOutcome(fault.Unknown)
}

// query asks this daemon's own table or the other daemon, of the same incarnation.
func (s *Service) query(ctx context.Context, r Record, out *peerpb.IntentState) error {
	self := s.calls.Self()
	if r.Daemon == self.ID {
		if r.Incarnation != self.Incarnation {
			return errors.Newf("incarnation %d of this daemon is gone", r.Incarnation)
		}
		s.answerQuery(r.Nonce, out)
		return nil
	}
	for _, m := range s.members.Members() {
		if m.ID != r.Daemon {
			continue
		}
		if m.Incarnation != r.Incarnation {
			return errors.Newf("daemon %s was restarted", r.Daemon)
		}
		ctx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		return s.calls.Call(ctx, m.Node, serviceQuery, &peerpb.IntentQuery{Nonce: r.Nonce}, out)
	}
	return errors.Newf("daemon %s is gone", r.Daemon)
}

func (s *Service) handleQuery(_ context.Context, _ peer.Node, body []byte) (proto.Message, error) {
	var q peerpb.IntentQuery
	if err := proto.Unmarshal(body, &q); err != nil {
		return nil, fault.New(fault.BadRequest, "run the same version on every daemon", "message can't be read").WithCause(err)
	}
	out := &peerpb.IntentState{}
	s.answerQuery(q.GetNonce(), out)
	return out, nil
}

func (s *Service) answerQuery(nonce string, out *peerpb.IntentState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in, ok := s.active[nonce]
	if !ok {
		return
	}
	out.State = string(in.phase)
	out.Status = int32(in.record.Status)
	out.ContentType = in.record.ContentType
	out.Body = in.record.Body
}

// takeOver replaces an intent that its owner never sent.
func (s *Service) takeOver(ctx context.Context, in *Intent, version int64) error {
	body, err := json.Marshal(in.record)
	if err != nil {
		return err
	}
	v, err := s.objects.Update(ctx, in.key, body, version)
	switch {
	case err == nil:
		in.version = v
		return nil
	case errors.Is(err, store.ErrAmbiguous):
		_, err = s.readBack(ctx, in, err)
		return err
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		return inProgress("another daemon took it over")
	default:
		return notRun(err)
	}
}

// List returns the pending intents of the store, so that operators can settle unknown outcomes.
func (s *Service) List(ctx context.Context) ([]Record, error) {
	page, err := s.objects.ListAll(ctx, storePrefix)
	if err != nil {
		return nil, err
	}
	var out []Record
	for _, o := range page.Items {
		var r Record
		if json.Unmarshal(o.Body, &r) == nil && r.State == Pending {
			out = append(out, r)
		}
	}
	return out, nil
}

// Dump shows the intents that are not settled in the store.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	phases := map[phase]int{}
	for _, in := range s.active {
		phases[in.phase]++
	}
	return struct {
		Active map[phase]int `json:"active"`
	}{phases}
}
