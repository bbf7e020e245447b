package ingress

import (
	"github.com/cespare/xxhash/v2"

	"github.com/pollencourse/pollencourse/internal/config/routing"
)

// pick chooses a service by weight; requests with one ID go to the same one.
func pick(shares []routing.WeightedService, id string) string {
	if len(shares) == 1 {
		return shares[0].Service
	}
	total := 0
	for _, s := range shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return shares[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range shares {
		if at -= max(0, s.Weight); at < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}
