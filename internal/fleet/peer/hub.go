package peer

import (
	"bufio"
	"context"
	"crypto/sha256"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// Handler handles one call from a peer; the returned message may be nil.
type Handler func(ctx context.Context, from Node, body []byte) (proto.Message, error)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Hub holds the connections to other daemons and the handlers for their calls.
type Hub struct {
	self     Node
	key      []byte
	listener net.Listener
	dial     Dialer
	log      *event.Log
	traffic  Traffic
	closed   chan struct{}

	mu       sync.Mutex
	sessions map[string]*session
	// dialing holds, by peer ID, a channel that is closed when the dial in progress ends.
	dialing           map[string]chan struct{}
	handlers          map[string]Handler
	newestIncarnation map[string]int64
	replaced          replacedNodes
	superseded        func()
	onReplacement     func(by Node)
}

const (
	// callTimeout bounds a call without a deadline, the handling of a call, and each write to a stream.
	callTimeout     = 10 * time.Second
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
)

// New returns a Hub whose fleet key is derived from keys; superseded is called when a peer is a newer process with this
// daemon's ID.
func New(self Node, keys []string, listener net.Listener, dial Dialer, log *event.Log, superseded func()) *Hub {
	sum := sha256.Sum256([]byte("peer " + strings.Join(keys, ",")))
	return &Hub{
		self: self, key: sum[:], listener: listener, dial: dial, log: log, superseded: superseded,
		sessions: map[string]*session{}, dialing: map[string]chan struct{}{},
		handlers: map[string]Handler{}, newestIncarnation: map[string]int64{}, replaced: replacedNodes{}, closed: make(chan struct{}),
	}
}

// Self returns the node of this daemon.
func (h *Hub) Self() Node { return h.self }

// Traffic returns the counters of bytes and calls.
func (h *Hub) Traffic() *Traffic { return &h.traffic }

// Handle registers the handler of a service name.
func (h *Hub) Handle(service string, fn Handler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handlers[service] = fn
}

// OnReplacement calls fn with a daemon that was found at the address of another one. It must be called before Run.
func (h *Hub) OnReplacement(fn func(by Node)) { h.onReplacement = fn }

// Run accepts connections until ctx ends, then closes all connections.
func (h *Hub) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = h.listener.Close() })
	defer stop()
	defer h.closeAll()
	go h.closeIdle(ctx)
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		go h.accept(conn)
	}
}

func (h *Hub) closeAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.closed)
	for _, s := range h.sessions {
		_ = s.mux.Close()
	}
}

// closeIdle closes connections that carried no call for idleConnTimeout.
func (h *Hub) closeIdle(ctx context.Context) {
	ticker := time.NewTicker(idleConnTimeout / 3)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		h.mu.Lock()
		for id, s := range h.sessions {
			if time.Since(time.Unix(0, s.lastUsedUnixNano.Load())) > idleConnTimeout {
				delete(h.sessions, id)
				_ = s.mux.GoAway()
				go func() { _ = s.mux.Close() }()
			}
		}
		h.replaced.expire(time.Now())
		h.mu.Unlock()
	}
}

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = callTimeout
	cfg.StreamOpenTimeout = callTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

func (h *Hub) accept(conn net.Conn) {
	counted := countingConn{Conn: conn, traffic: &h.traffic}
	node, err := handshakeAsAcceptor(counted, h.self, h.key)
	if err == nil {
		err = h.checkIncarnation(node)
	}
	if err != nil {
		_ = conn.Close()
		return
	}
	mc := newMuxConn(counted)
	mux, err := yamux.Server(mc, muxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	h.registerSession(&session{node: node, mux: mux, muxConn: mc})
}

// checkIncarnation rejects the older of two processes with the same ID, and any process with this daemon's own ID.
func (h *Hub) checkIncarnation(n Node) error {
	if n.ID == h.self.ID {
		if n.Incarnation > h.self.Incarnation {
			h.superseded()
		}
		return errSuperseded(n.ID)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if n.Incarnation < h.newestIncarnation[n.ID] {
		return errSuperseded(n.ID)
	}
	h.newestIncarnation[n.ID] = n.Incarnation
	return nil
}

func errSuperseded(id string) error {
	return fault.New(fault.Superseded, "stop the older process", "daemon %s has a newer incarnation", id)
}

// registerSession makes s the peer's session, unless the existing one is kept because both sides dialed at once. It
// serves s and returns the peer's session.
func (h *Hub) registerSession(s *session) *session {
	s.lastUsedUnixNano.Store(time.Now().UnixNano())
	h.mu.Lock()
	old := h.sessions[s.node.ID]
	if old != nil && !old.mux.IsClosed() && old.node.Incarnation == s.node.Incarnation && h.keepsExisting(old, s) {
		h.mu.Unlock()
		go h.serve(s)
		return old
	}
	h.sessions[s.node.ID] = s
	h.mu.Unlock()
	h.log.Emit(event.PeerConnected, "peer", s.node.ID)
	go h.serve(s)
	return s
}

// keepsExisting reports whether old stays the peer's session. Of two simultaneous dials both sides keep the one by the
// daemon with the lower ID.
func (h *Hub) keepsExisting(old, s *session) bool {
	if old.dialed == s.dialed {
		return false
	}
	return old.dialed == (h.self.ID < s.node.ID)
}

func (h *Hub) serve(s *session) {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			break
		}
		s.lastUsedUnixNano.Store(time.Now().UnixNano())
		go h.serveStream(s, stream)
	}
	h.mu.Lock()
	if h.sessions[s.node.ID] == s {
		delete(h.sessions, s.node.ID)
	}
	h.mu.Unlock()
	_ = s.mux.Close()
	h.log.Emit(event.PeerLost, "peer", s.node.ID)
}

// serveStream handles one call after another until the peer closes the stream.
func (h *Hub) serveStream(s *session, stream *yamux.Stream) {
	s.muxConn.track(stream)
	defer s.muxConn.closeStream(stream)
	r := bufio.NewReader(stream)
	for {
		var req peerpb.Request
		if err := readMessage(r, &req); err != nil {
			if !errors.Is(err, io.EOF) && !s.mux.IsClosed() {
				h.log.Emit(event.PeerMessageWrong, "peer", s.node.ID, "error", err.Error())
			}
			return
		}
		s.lastUsedUnixNano.Store(time.Now().UnixNano())
		_ = stream.SetWriteDeadline(time.Now().Add(callTimeout))
		if writeMessage(stream, h.handleRequest(s.node, &req)) != nil {
			return
		}
	}
}

func (h *Hub) handleRequest(from Node, req *peerpb.Request) *peerpb.Response {
	h.mu.Lock()
	fn := h.handlers[req.GetService()]
	h.mu.Unlock()
	if fn == nil {
		return errorResponse(fault.New(fault.NotFound, "run the same version on every daemon", "no service %q", req.GetService()))
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	m, err := fn(ctx, from, req.GetBody())
	if err != nil {
		return errorResponse(err)
	}
	if m == nil {
		return &peerpb.Response{}
	}
	body, err := proto.Marshal(m)
	if err != nil {
		return errorResponse(err)
	}
	return &peerpb.Response{Body: body}
}

func errorResponse(err error) *peerpb.Response {
	e := fault.As(err)
	return &peerpb.Response{Kind: string(e.Kind), Message: e.Message, Remedy: e.Remedy}
}

// Call calls a service of a peer and decodes its message into resp, which may be nil. An error of the peer's handler
// keeps its kind and remedy.
func (h *Hub) Call(ctx context.Context, to Node, service string, req, resp proto.Message) error {
	s, err := h.connect(ctx, to)
	if err != nil {
		return err
	}
	h.traffic.Calls.Add(1)
	s.lastUsedUnixNano.Store(time.Now().UnixNano())
	c, err := s.acquireStream()
	if err != nil {
		return errUnreachable(to, err)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(callTimeout)
	}
	s.muxConn.setStreamDeadline(c.stream, deadline)
	stop := context.AfterFunc(ctx, func() { s.muxConn.setStreamDeadline(c.stream, time.Now()) })
	out, err := c.roundTrip(service, req)
	if !stop() || err != nil {
		s.muxConn.closeStream(c.stream)
	} else {
		s.releaseStream(c)
	}
	if err != nil {
		return errUnreachable(to, err)
	}
	if out.GetKind() != "" {
		return fault.New(fault.Kind(out.GetKind()), out.GetRemedy(), "%s: %s", to.ID, out.GetMessage())
	}
	if resp == nil {
		return nil
	}
	return proto.Unmarshal(out.GetBody(), resp)
}

func errUnreachable(to Node, err error) error {
	return fault.New(fault.Unavailable, "check its VM and the network", "daemon %s does not answer", to.ID).WithCause(err)
}

// connect returns the session to a peer. Concurrent callers share one dial; after a failed one, the next caller dials,
// unless another daemon was found at the peer's address.
func (h *Hub) connect(ctx context.Context, to Node) (*session, error) {
	for {
		h.mu.Lock()
		if s := h.sessions[to.ID]; s != nil && !s.mux.IsClosed() {
			h.mu.Unlock()
			return s, nil
		}
		if by, ok := h.replaced.by(to, time.Now()); ok {
			h.mu.Unlock()
			return nil, errReplaced(to, by)
		}
		wait, busy := h.dialing[to.ID]
		if !busy {
			wait = make(chan struct{})
			h.dialing[to.ID] = wait
		}
		h.mu.Unlock()
		if !busy {
			return h.dialSession(ctx, to, wait)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, errUnreachable(to, ctx.Err())
		}
	}
}

func (h *Hub) dialSession(ctx context.Context, to Node, wait chan struct{}) (*session, error) {
	defer func() {
		h.mu.Lock()
		delete(h.dialing, to.ID)
		h.mu.Unlock()
		close(wait)
	}()
	select {
	case <-h.closed:
		return nil, errUnreachable(to, net.ErrClosed)
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := h.dial(ctx, to.PeerAddress)
	if err != nil {
		return nil, errUnreachable(to, err)
	}
	s, err := h.openSession(countingConn{Conn: conn, traffic: &h.traffic})
	if err != nil {
		_ = conn.Close()
		return nil, errUnreachable(to, err)
	}
	s = h.registerSession(s)
	if s.node.ID != to.ID {
		h.mu.Lock()
		h.replaced.add(to, s.node.ID, time.Now())
		h.mu.Unlock()
		if h.onReplacement != nil {
			h.onReplacement(s.node)
		}
		return nil, errReplaced(to, s.node.ID)
	}
	return s, nil
}

func (h *Hub) openSession(conn net.Conn) (*session, error) {
	node, err := handshakeAsDialer(conn, h.self, h.key)
	if err != nil {
		return nil, err
	}
	if err := h.checkIncarnation(node); err != nil {
		return nil, err
	}
	mc := newMuxConn(conn)
	mux, err := yamux.Client(mc, muxConfig())
	if err != nil {
		return nil, err
	}
	return &session{node: node, mux: mux, muxConn: mc, dialed: true}, nil
}

// Join connects to the daemon that listens at an address and returns its node.
func (h *Hub) Join(ctx context.Context, address string) (Node, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	to := Node{PeerAddress: address}
	conn, err := h.dial(ctx, address)
	if err != nil {
		return Node{}, errUnreachable(to, err)
	}
	s, err := h.openSession(countingConn{Conn: conn, traffic: &h.traffic})
	if err != nil {
		_ = conn.Close()
		return Node{}, errUnreachable(to, err)
	}
	return h.registerSession(s).node, nil
}

// Disconnect closes the connection to a peer, if there is one.
func (h *Hub) Disconnect(id string) {
	h.mu.Lock()
	s := h.sessions[id]
	h.mu.Unlock()
	if s != nil {
		_ = s.mux.Close()
	}
}

// Connected returns the peers that have a connection, ordered by ID.
func (h *Hub) Connected() []Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Node
	for _, id := range slices.Sorted(maps.Keys(h.sessions)) {
		out = append(out, h.sessions[id].node)
	}
	return out
}

// Dump shows the connections and the traffic.
func (h *Hub) Dump() any {
	return struct {
		Self      Node   `json:"self"`
		Connected []Node `json:"connected"`
		BytesIn   int64  `json:"bytesIn"`
		BytesOut  int64  `json:"bytesOut"`
		Calls     int64  `json:"calls"`
	}{h.self, h.Connected(), h.traffic.BytesIn.Load(), h.traffic.BytesOut.Load(), h.traffic.Calls.Load()}
}
