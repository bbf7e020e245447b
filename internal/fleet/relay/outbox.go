package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

const (
	// coalesce is how long a record waits for others that go the same way.
	coalesce = 5 * time.Millisecond
	// maxPushBytes bounds one push; the rest follows in the next.
	maxPushBytes = 512 << 10
	pushTimeout  = 5 * time.Second
)

// outbox holds what one neighbour has yet to be sent; a newer record replaces an older one.
type outbox struct {
	gossip *Gossip
	node   peer.Node

	mu      sync.Mutex
	pending map[string]map[string]Record
	sending bool
}

func newOutbox(g *Gossip, n peer.Node) *outbox {
	return &outbox{gossip: g, node: n, pending: map[string]map[string]Record{}}
}

func (o *outbox) add(table string, records []Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending[table] == nil {
		o.pending[table] = map[string]Record{}
	}
	for _, r := range records {
		if o.pending[table][r.Key].Version < r.Version {
			o.pending[table][r.Key] = r
		}
	}
	if !o.sending {
		o.sending = true
		time.AfterFunc(coalesce, o.send)
	}
}

// send pushes until nothing is pending; what can't be delivered is left to the digests.
func (o *outbox) send() {
	for {
		table, records := o.take()
		if len(records) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		err := o.gossip.calls.Call(ctx, o.node, servicePush, pushOf(table, records), nil)
		cancel()
		if err != nil {
			o.drop()
			return
		}
	}
}

func (o *outbox) take() (string, []Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for table, byKey := range o.pending {
		var out []Record
		size := 0
		for k, r := range byKey {
			if size > maxPushBytes {
				break
			}
			out = append(out, r)
			size += len(r.Body)
			delete(byKey, k)
		}
		if len(out) > 0 {
			return table, out
		}
	}
	o.sending = false
	return "", nil
}

func (o *outbox) drop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending = map[string]map[string]Record{}
	o.sending = false
}

func pushOf(table string, records []Record) *peerpb.Push {
	p := &peerpb.Push{Table: table}
	for _, r := range records {
		p.Records = append(p.Records, &peerpb.Record{Key: r.Key, Version: r.Version, Body: r.Body})
	}
	return p
}

func recordsOf(p *peerpb.Push) []Record {
	out := make([]Record, 0, len(p.GetRecords()))
	for _, r := range p.GetRecords() {
		out = append(out, Record{Key: r.GetKey(), Version: r.GetVersion(), Body: r.GetBody()})
	}
	return out
}
