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

// Handler answers one call; the returned message may be nil.
type Handler func(ctx context.Context, from Node, body []byte) (proto.Message, error)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Hub holds the connections to other daemons.
type Hub struct {
	self     Node
	key      []byte
	listener net.Listener
	dial     Dialer
	log      *event.Log
	traffic  Traffic
	done     chan struct{}

	mu         sync.Mutex
	sessions   map[string]*session
	dialing    map[string]chan struct{}
	handlers   map[string]Handler
	newest     map[string]int64
	superseded func()
}

const (
	streamTimeout = 10 * time.Second
	dialTimeout   = 2 * time.Second
	idleTimeout   = 30 * time.Second
)

// New returns a hub; superseded is called once a newer process with this daemon's ID is met.
func New(self Node, keys []string, listener net.Listener, dial Dialer, log *event.Log, superseded func()) *Hub {
	sum := sha256.Sum256([]byte("peer " + strings.Join(keys, ",")))
	return &Hub{
		self: self, key: sum[:], listener: listener, dial: dial, log: log, superseded: superseded,
		sessions: map[string]*session{}, dialing: map[string]chan struct{}{},
		handlers: map[string]Handler{}, newest: map[string]int64{}, done: make(chan struct{}),
	}
}

// Self returns the daemon's own node.
func (h *Hub) Self() Node { return h.self }

// Traffic returns the counts of bytes and calls.
func (h *Hub) Traffic() *Traffic { return &h.traffic }

// Handle registers the handler of a service name.
func (h *Hub) Handle(service string, fn Handler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handlers[service] = fn
}

// Run accepts connections until ctx ends, then closes all.
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
	close(h.done)
	for _, s := range h.sessions {
		_ = s.mux.Close()
	}
}

// closeIdle closes connections that carried no call for a while.
func (h *Hub) closeIdle(ctx context.Context) {
	ticker := time.NewTicker(idleTimeout / 3)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		h.mu.Lock()
		for id, s := range h.sessions {
			if time.Since(time.Unix(0, s.used.Load())) > idleTimeout {
				delete(h.sessions, id)
				_ = s.mux.GoAway()
				go func() { _ = s.mux.Close() }()
			}
		}
		h.mu.Unlock()
	}
}

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = streamTimeout
	cfg.StreamOpenTimeout = streamTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

func (h *Hub) accept(conn net.Conn) {
	counted := countedConn{Conn: conn, traffic: &h.traffic}
	node, err := handshakeIn(counted, h.self, h.key)
	if err == nil {
		err = h.checkIncarnation(node)
	}
	if err != nil {
		_ = conn.Close()
		return
	}
	l := newLink(counted)
	mux, err := yamux.Server(l, muxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	h.adopt(&session{node: node, mux: mux, link: l})
}

// checkIncarnation refuses the older of two processes with one ID.
func (h *Hub) checkIncarnation(n Node) error {
	if n.ID == h.self.ID {
		if n.Incarnation > h.self.Incarnation {
			h.superseded()
		}
		return errSuperseded(n.ID)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if n.Incarnation < h.newest[n.ID] {
		return errSuperseded(n.ID)
	}
	h.newest[n.ID] = n.Incarnation
	return nil
}

func errSuperseded(id string) error {
	return fault.New(fault.Superseded, "stop the older process", "daemon %s has a newer incarnation", id)
}

// adopt keeps the session, or the existing one if both sides dialed at once.
func (h *Hub) adopt(s *session) *session {
	s.used.Store(time.Now().UnixNano())
	h.mu.Lock()
	old := h.sessions[s.node.ID]
	if old != nil && !old.mux.IsClosed() && old.node.Incarnation == s.node.Incarnation && h.prefers(old, s) {
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

// prefers reports whether old stays: of two crossing dials the one by the lower ID.
func (h *Hub) prefers(old, s *session) bool {
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
		s.used.Store(time.Now().UnixNano())
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

// serveStream answers one call after another until the peer closes the stream.
func (h *Hub) serveStream(s *session, stream *yamux.Stream) {
	s.link.watch(stream)
	defer s.link.drop(stream)
	r := bufio.NewReader(stream)
	for {
		var req peerpb.Request
		if err := readMessage(r, &req); err != nil {
			if !errors.Is(err, io.EOF) && !s.mux.IsClosed() {
				h.log.Emit(event.PeerMessageWrong, "peer", s.node.ID, "error", err.Error())
			}
			return
		}
		s.used.Store(time.Now().UnixNano())
		_ = stream.SetWriteDeadline(time.Now().Add(streamTimeout))
		if writeMessage(stream, h.answer(s.node, &req)) != nil {
			return
		}
	}
}

func (h *Hub) answer(from Node, req *peerpb.Request) *peerpb.Response {
	h.mu.Lock()
	fn := h.handlers[req.GetService()]
	h.mu.Unlock()
	if fn == nil {
		return responseOf(fault.New(fault.NotFound, "run the same version on every daemon", "no service %q", req.GetService()))
	}
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	m, err := fn(ctx, from, req.GetBody())
	if err != nil {
		return responseOf(err)
	}
	if m == nil {
		return &peerpb.Response{}
	}
	body, err := proto.Marshal(m)
	if err != nil {
		return responseOf(err)
	}
	return &peerpb.Response{Body: body}
}

func responseOf(err error) *peerpb.Response {
	e := fault.As(err)
	return &peerpb.Response{Kind: string(e.Kind), Message: e.Message, Remedy: e.Remedy}
}

// Call calls a service of a peer; resp may be nil.
func (h *Hub) Call(ctx context.Context, to Node, service string, req, resp proto.Message) error {
	s, err := h.connect(ctx, to)
	if err != nil {
		return err
	}
	h.traffic.Calls.Add(1)
	s.used.Store(time.Now().UnixNano())
	c, err := s.stream()
	if err != nil {
		return unreachable(to, err)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(streamTimeout)
	}
	s.link.setDeadline(c.stream, deadline)
	stop := context.AfterFunc(ctx, func() { s.link.setDeadline(c.stream, time.Now()) })
	out, err := c.exchange(service, req)
	if !stop() || err != nil {
		s.link.drop(c.stream)
	} else {
		s.keep(c)
	}
	if err != nil {
		return unreachable(to, err)
	}
	if out.GetKind() != "" {
		return fault.New(fault.Kind(out.GetKind()), out.GetRemedy(), "%s: %s", to.ID, out.GetMessage())
	}
	if resp == nil {
		return nil
	}
	return proto.Unmarshal(out.GetBody(), resp)
}

func unreachable(to Node, err error) error {
	return fault.New(fault.Unavailable, "check its VM and the network", "daemon %s does not answer", to.ID).WithCause(err)
}

// connect returns the session to a peer, dialing once for all callers.
func (h *Hub) connect(ctx context.Context, to Node) (*session, error) {
	for {
		h.mu.Lock()
		if s := h.sessions[to.ID]; s != nil && !s.mux.IsClosed() {
			h.mu.Unlock()
			return s, nil
		}
		wait, busy := h.dialing[to.ID]
		if !busy {
			wait = make(chan struct{})
			h.dialing[to.ID] = wait
		}
		h.mu.Unlock()
		if !busy {
			return h.dialOnce(ctx, to, wait)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, unreachable(to, ctx.Err())
		}
	}
}

func (h *Hub) dialOnce(ctx context.Context, to Node, wait chan struct{}) (*session, error) {
	defer func() {
		h.mu.Lock()
		delete(h.dialing, to.ID)
		h.mu.Unlock()
		close(wait)
	}()
	select {
	case <-h.done:
		return nil, unreachable(to, net.ErrClosed)
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := h.dial(ctx, to.PeerAddress)
	if err != nil {
		return nil, unreachable(to, err)
	}
	s, err := h.open(countedConn{Conn: conn, traffic: &h.traffic}, to)
	if err != nil {
		_ = conn.Close()
		return nil, unreachable(to, err)
	}
	return h.adopt(s), nil
}

func (h *Hub) open(conn net.Conn, to Node) (*session, error) {
	node, err := handshakeOut(conn, h.self, h.key)
	if err != nil {
		return nil, err
	}
	if err := h.checkIncarnation(node); err != nil {
		return nil, err
	}
	if to.ID != "" && node.ID != to.ID {
		return nil, errors.Newf("address %s is daemon %s, not %s", to.PeerAddress, node.ID, to.ID)
	}
	l := newLink(conn)
	mux, err := yamux.Client(l, muxConfig())
	if err != nil {
		return nil, err
	}
	return &session{node: node, mux: mux, link: l, dialed: true}, nil
}

// Join connects to whichever daemon listens at an address.
func (h *Hub) Join(ctx context.Context, address string) (Node, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	to := Node{PeerAddress: address}
	conn, err := h.dial(ctx, address)
	if err != nil {
		return Node{}, unreachable(to, err)
	}
	s, err := h.open(countedConn{Conn: conn, traffic: &h.traffic}, to)
	if err != nil {
		_ = conn.Close()
		return Node{}, unreachable(to, err)
	}
	return h.adopt(s).node, nil
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

// Connected returns the peers that have a connection, by ID.
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
