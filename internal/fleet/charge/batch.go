package charge

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// storePrefix is the prefix of batches in the store.
const storePrefix = "charges/"

// maxBatch keeps a batch well below the store's largest object.
const maxBatch = 4000

// origin is one incarnation of a daemon that made charges.
type origin struct {
	id          string
	incarnation int64
}

// batch is the charges of one origin under one sequence number.
type batch struct {
	origin   origin
	sequence int64
	charges  []*peerpb.Charge
}

func (b *batch) key() string {
	return fmt.Sprintf("%s%s/%d/%08d", storePrefix, b.origin.id, b.origin.incarnation, b.sequence)
}

func (b *batch) marshal(writer string) ([]byte, error) {
	return proto.Marshal(&peerpb.ChargeBatch{
		Origin: b.origin.id, Incarnation: b.origin.incarnation, Sequence: b.sequence,
		Charges: b.charges, Writer: writer,
	})
}

// missing returns the charges of b that a stored batch lacks.
func (b *batch) missing(stored *peerpb.ChargeBatch) []*peerpb.Charge {
	has := map[string]bool{}
	for _, c := range stored.GetCharges() {
		has[Identity(c)] = true
	}
	var out []*peerpb.Charge
	for _, c := range b.charges {
		if !has[Identity(c)] {
			out = append(out, c)
		}
	}
	return out
}

// Identity is the key by which charges are merged.
func Identity(c *peerpb.Charge) string { return c.GetAccount() + "/" + c.GetRequestId() }
