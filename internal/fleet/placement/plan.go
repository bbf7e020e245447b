package placement

import (
	"maps"
	"slices"
	"strings"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/external/vmlist"
)

// EngineOrder is the order for one engine.
type EngineOrder struct {
	Engine  string
	Address string
	// Serves lists all versions that the engine has to have, sorted.
	Serves []string
}

// wantedVersions reports for each version in any template whether engines have to have it.
func wantedVersions(templates []*template.Template) map[string]bool {
	out := map[string]bool{}
	for _, t := range templates {
		for _, p := range t.Accounts {
			for _, v := range p.Versions {
				out[v.ID] = out[v.ID] || v.State != template.Withdrawn
			}
		}
	}
	return out
}

// minEnginesPerZone is how many engines of an availability zone should at least have each wanted version.
const minEnginesPerZone = 1

// Plan returns the orders that bring the engines of a region to the state that the templates
// require, sorted by engine.
//
// A version that no engine of an availability zone has is added to engines there that have another
// version of the same model. Versions that are in no template stay on their engines.
func Plan(templates []*template.Template, engines []vmlist.VM) []EngineOrder {
	want := wantedVersions(templates)
	desired := map[string][]string{}
	byZone := map[string][]vmlist.VM{}
	for _, e := range engines {
		desired[e.ID] = keptVersions(e.Serves, want)
		byZone[e.AvailabilityZone] = append(byZone[e.AvailabilityZone], e)
	}
	for _, version := range slices.Sorted(maps.Keys(want)) {
		if want[version] {
			for _, zone := range byZone {
				addMissingVersion(version, zone, desired)
			}
		}
	}
	var out []EngineOrder
	for _, e := range engines {
		have := slices.Sorted(slices.Values(e.Serves))
		slices.Sort(desired[e.ID])
		if !slices.Equal(have, desired[e.ID]) {
			out = append(out, EngineOrder{Engine: e.ID, Address: e.Address, Serves: desired[e.ID]})
		}
	}
	slices.SortFunc(out, func(a, b EngineOrder) int { return strings.Compare(a.Engine, b.Engine) })
	return out
}

func keptVersions(serves []string, want map[string]bool) []string {
	var out []string
	for _, v := range serves {
		if wants, known := want[v]; wants || !known {
			out = append(out, v)
		}
	}
	return out
}

// addMissingVersion adds a version to engines of one availability zone that serve the same model,
// up to minEnginesPerZone.
func addMissingVersion(version string, zone []vmlist.VM, desired map[string][]string) {
	model, _, _ := strings.Cut(version, "@")
	have := 0
	for _, e := range zone {
		if slices.Contains(desired[e.ID], version) {
			have++
		}
	}
	for _, e := range zone {
		if have >= minEnginesPerZone || e.Leaving {
			continue
		}
		sameModel := slices.ContainsFunc(e.Serves, func(v string) bool { return strings.HasPrefix(v, model+"@") })
		if sameModel && !slices.Contains(desired[e.ID], version) {
			desired[e.ID] = append(desired[e.ID], version)
			have++
		}
	}
}
