package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

const (
	// coalesceDelay is how long a record waits for others to the same neighbour before a push.
	coalesceDelay = 5 * time.Millisecond
	// maxPushBytes bounds the record bodies of one push. The record that exceeds it is still included; the rest go into
	// the next push.
	maxPushBytes = 512 << 10
	pushTimeout  = 5 * time.Second
)

// outbox queues the records to be sent to one neighbour; a newer record replaces a queued older one.
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

func (o *outbox) enqueue(table string, records []Record) {
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
		time.AfterFunc(coalesceDelay, o.send)
	}
}

// send pushes batches until nothing is pending. After a failed push it discards what is pending; the neighbour
// gets those records by a later sync, or, if they are left out of the digests, when they are published again.
func (o *outbox) send() {
	for {
		table, records := o.nextBatch()
		if len(records) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		err := o.gossip.calls.Call(ctx, o.node, servicePush, pushOf(table, records), nil)
		cancel()
		if err != nil {
			o.discardPending()
			return
		}
	}
}

// nextBatch removes and returns pending records of one table; without any it marks the outbox as not sending.
func (o *outbox) nextBatch() (string, []Record) {
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

func (o *outbox) discardPending() {
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
