package routing

import "slices"

// Regions are the regions in which a request may be served; the zero value stands for all.
type Regions struct {
	names      []string
	restricted bool
}

// AllowedRegions returns the regions that both a route and a client account allow; the account is nil on public routes.
func AllowedRegions(route *Route, account *Account) Regions {
	r := Regions{names: route.AllowedRegions, restricted: len(route.AllowedRegions) > 0}
	if account == nil || len(account.AllowedRegions) == 0 {
		return r
	}
	if !r.restricted {
		return Regions{names: account.AllowedRegions, restricted: true}
	}
	common := slices.DeleteFunc(slices.Clone(r.names), func(name string) bool { return !slices.Contains(account.AllowedRegions, name) })
	return Regions{names: common, restricted: true}
}

// Restricted reports whether some region is not allowed.
func (r Regions) Restricted() bool { return r.restricted }

// Allow reports whether a region is allowed.
func (r Regions) Allow(region string) bool { return !r.restricted || slices.Contains(r.names, region) }

// Empty reports whether no region is allowed, since the route and the account have none in common.
func (r Regions) Empty() bool { return r.restricted && len(r.names) == 0 }

// RegionsOfHost returns the regions that the restricted routes of a host allow; nil if it has none.
func (t *Table) RegionsOfHost(host string) []string {
	var names []string
	for _, r := range t.routesByHost[host] {
		names = append(names, r.AllowedRegions...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// UnknownRegions returns the regions that routes and client accounts allow and for which known returns false.
func (t *Table) UnknownRegions(known func(region string) bool) []string {
	var names []string
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			names = append(names, r.AllowedRegions...)
		}
	}
	for _, a := range t.accountsByKey {
		names = append(names, a.AllowedRegions...)
	}
	names = slices.DeleteFunc(names, known)
	slices.Sort(names)
	return slices.Compact(names)
}
