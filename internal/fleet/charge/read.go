package charge

import (
	"context"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/external/store"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// Bill holds the stored charges after merging.
type Bill struct {
	Charges []*peerpb.Charge
	// Merged counts the charges left out because another charge for the same request is in the bill.
	Merged int
}

// Read merges all stored charges by account and request ID, keeping the one that was stored first.
func Read(ctx context.Context, objects Objects) (Bill, error) {
	page, err := objects.ListAll(ctx, storePrefix)
	if err != nil {
		return Bill{}, err
	}
	slices.SortFunc(page.Items, func(a, b store.Object) int { return int(a.Version - b.Version) })
	var bill Bill
	seen := map[string]bool{}
	for _, o := range page.Items {
		var b peerpb.ChargeBatch
		if err := proto.Unmarshal(o.Body, &b); err != nil {
			return Bill{}, fault.New(fault.Internal, "inspect the object in the store", "charge batch %s can't be decoded", o.Key).WithCause(err)
		}
		for _, c := range b.GetCharges() {
			if seen[mergeKey(c)] {
				bill.Merged++
				continue
			}
			seen[mergeKey(c)] = true
			bill.Charges = append(bill.Charges, c)
		}
	}
	slices.SortFunc(bill.Charges, func(a, b *peerpb.Charge) int { return strings.Compare(mergeKey(a), mergeKey(b)) })
	return bill, nil
}
