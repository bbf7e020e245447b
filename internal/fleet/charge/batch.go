package charge

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// storePrefix is the key prefix of charge batches in the store.
const storePrefix = "charges/"

// maxChargesPerBatch keeps a batch well below the size of the largest object that the store takes.
const maxChargesPerBatch = 4000

// origin identifies one incarnation of a daemon that creates charges.
type origin struct {
	id          string
	incarnation int64
}

// batch holds the charges of one origin with the same sequence number.
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

// missingFrom returns the charges of b that the stored batch does not contain.
func (b *batch) missingFrom(stored *peerpb.ChargeBatch) []*peerpb.Charge {
	has := map[string]bool{}
	for _, c := range stored.GetCharges() {
		has[mergeKey(c)] = true
	}
	var out []*peerpb.Charge
	for _, c := range b.charges {
		if !has[mergeKey(c)] {
			out = append(out, c)
		}
	}
	return out
}

// mergeKey returns the key by which duplicate charges are merged.
func mergeKey(c *peerpb.Charge) string { return c.GetAccount() + "/" + c.GetRequestId() }
