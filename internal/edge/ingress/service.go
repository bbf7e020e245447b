package ingress

import (
	"github.com/cespare/xxhash/v2"

	"github.com/pollencourse/pollencourse/internal/config/routing"
)

// pickService chooses a service by weight; requests with the same ID go to the same service.
func pickService(services []routing.WeightedService, id string) string {
	if len(services) == 1 {
		return services[0].Service
	}
	total := 0
	for _, s := range services {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return services[0].Service
	}
	offset := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range services {
		if offset -= max(0, s.Weight); offset < 0 {
			return s.Service
		}
	}
	return services[len(services)-1].Service
}
