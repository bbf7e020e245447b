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

// queryTimeout bounds the query for an intent's state to the daemon that created it.
const queryTimeout = 500 * time.Millisecond

// Objects is the part of the store's client that Service uses.
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

// Members is the part of the membership that Service uses.
type Members interface {
	Members() []member.Member
}

// Service creates intents and settles them, that is, writes their outcome to the store or deletes them.
type Service struct {
	objects Objects
	calls   Caller
	members Members
	log     *event.Log

	mu sync.Mutex
	// active maps the nonces of this daemon's intents that are not yet settled to the intents.
	active map[string]*Intent
}

// New returns a Service without intents and registers its handler for queries of other daemons.
func New(objects Objects, calls Caller, members Members, log *event.Log) *Service {
	s := &Service{objects: objects, calls: calls, members: members, log: log, active: map[string]*Intent{}}
	calls.Handle(serviceQuery, s.handleQuery)
	return s
}

// phase is the state of an intent as known to the daemon that created it; it is sent to other daemons.
type phase string

const (
	running   phase = "running"
	released  phase = "released"
	completed phase = "answered"
)

// Intent entitles its holder to send one request once.
type Intent struct {
	service *Service
	key     string
	record  Record
	phase   phase

	// settleMu serialises writes of the intent's outcome and guards version.
	settleMu sync.Mutex
	version  int64
}

// Begin creates the intent of a request, or returns the response that was recorded for it.
//
// Errors: inProgress while the request is running, outcomeLost if it may have run,
// conflict if the ID was used for another request, unavailable if the store is down.
// Only an error with outcome notRun guarantees that the request did not run.
func (s *Service) Begin(ctx context.Context, req Request) (*Intent, *Response, error) {
	self := s.calls.Self()
	in := &Intent{service: s, key: req.storeKey(), phase: running, record: Record{
		Account: req.Account, RequestID: req.RequestID, Service: req.Service, Nonce: uuid.NewString(),
		Daemon: self.ID, Incarnation: self.Incarnation, BodyHash: req.bodyHash(), State: Pending, At: time.Now().UTC(),
	}}
	s.track(in)
	recorded, err := s.create(ctx, in)
	if err != nil || recorded != nil {
		s.untrack(in)
		return nil, recorded, err
	}
	return in, nil, nil
}

func (s *Service) track(in *Intent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[in.record.Nonce] = in
}

// untrack removes an intent from active unless it still has to be settled.
func (s *Service) untrack(in *Intent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.phase == running {
		delete(s.active, in.record.Nonce)
	}
}

// create writes a new intent to the store; if the request already ran, it returns the recorded response.
func (s *Service) create(ctx context.Context, in *Intent) (*Response, error) {
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
		return s.readExisting(ctx, in)
	case errors.Is(err, store.ErrAmbiguous):
		return s.readBack(ctx, in, err)
	default:
		return nil, notRun(err)
	}
}

func notRun(err error) error {
	return fault.New(fault.Unavailable, "send it again with the same request ID", "the store is unavailable, so the request was not run").WithCause(err)
}

// readBack finds out whether a write whose response was lost took effect.
func (s *Service) readBack(ctx context.Context, in *Intent, cause error) (*Response, error) {
	existing, version, err := s.read(ctx, in.key)
	switch {
	case err == nil && existing.Nonce == in.record.Nonce:
		in.version = version
		return nil, nil
	case err == nil:
		return s.resolveExisting(ctx, in, existing, version)
	default:
		// The intent may be in the store. Since the request was not sent, the intent is released later.
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
		return Record{}, 0, fault.New(fault.Internal, "inspect the object in the store", "intent %s can't be decoded", key).WithCause(err).WithOutcome(fault.Unknown)
	}
	return r, o.Version, nil
}

// readExisting handles a request whose ID already has an intent.
func (s *Service) readExisting(ctx context.Context, in *Intent) (*Response, error) {
	existing, version, err := s.read(ctx, in.key)
	if errors.Is(err, store.ErrNotFound) {
		return nil, inProgress("the intent was just released")
	}
	if err != nil {
		return nil, fault.New(fault.Unavailable, "ask again with the same request ID", "the store is unavailable, so it is unknown whether the request ran").
			WithCause(err).WithOutcome(fault.Unknown)
	}
	return s.resolveExisting(ctx, in, existing, version)
}

func (s *Service) resolveExisting(ctx context.Context, in *Intent, existing Record, version int64) (*Response, error) {
	switch {
	case existing.Nonce == in.record.Nonce:
		in.version = version
		return nil, nil
	case existing.BodyHash != in.record.BodyHash:
		return nil, fault.New(fault.Conflict, "use a new request ID for another request", "request ID %q was used for another request", in.record.RequestID)
	case existing.State == Done:
		return &Response{Status: existing.Status, ContentType: existing.ContentType, Body: existing.Body}, nil
	default:
		return s.resolvePending(ctx, in, existing, version)
	}
}

// resolvePending asks the daemon that created a pending intent for its state.
func (s *Service) resolvePending(ctx context.Context, in *Intent, existing Record, version int64) (*Response, error) {
	var state peerpb.IntentState
	if err := s.queryOwner(ctx, existing, &state); err != nil {
		s.log.Emit(event.IntentUnknown, "account", existing.Account, "requestID", existing.RequestID, "daemon", existing.Daemon)
		return nil, fault.New(fault.OutcomeLost, "ask the service whether the request ran before using a new request ID",
			"daemon %s may have sent the request and does not respond", existing.Daemon).WithCause(err).WithOutcome(fault.Unknown)
	}
	switch phase(state.GetState()) {
	case completed:
		return &Response{Status: int(state.GetStatus()), ContentType: state.GetContentType(), Body: state.GetBody()}, nil
	case released:
		return nil, s.replaceReleased(ctx, in, version)
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

// queryOwner gets an intent's state from the incarnation that created it, which may be this daemon.
func (s *Service) queryOwner(ctx context.Context, r Record, out *peerpb.IntentState) error {
	self := s.calls.Self()
	if r.Daemon == self.ID {
		if r.Incarnation != self.Incarnation {
			return errors.Newf("incarnation %d of this daemon is gone", r.Incarnation)
		}
		s.fillState(r.Nonce, out)
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
	s.fillState(q.GetNonce(), out)
	return out, nil
}

func (s *Service) fillState(nonce string, out *peerpb.IntentState) {
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

// replaceReleased replaces an intent whose owner released it without sending the request.
func (s *Service) replaceReleased(ctx context.Context, in *Intent, version int64) error {
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

// List returns the pending intents in the store, so that operators can resolve unknown outcomes.
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

// Dump returns the number of unsettled intents by phase, for inspection.
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
