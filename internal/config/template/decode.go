package template

import (
	"strings"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/inifile"
)

const (
	// maxMicroUnits bounds costs, in micro-units.
	maxMicroUnits        = 1e9
	maxRequestsPerSecond = 1e6
	// maxCount bounds exposure and trial.
	maxCount          = 1_000_000
	minExposureWeight = 0.25
	// A weight above 4 would let the poor answers of a good version exhaust its exposure.
	maxExposureWeight = 4
	maxPriority       = 9
	defaultTimeout    = 30 * time.Second
	maxTimeout        = time.Hour
)

// decodePolicy decodes all sections except [parameters] and [account NAME].
func decodePolicy(d *inifile.Decoder) *Policy {
	p := &Policy{Classes: map[string]Class{}, Services: map[string]Service{}}
	decodeTemplateSection(d, p)
	for _, s := range d.Sections("version") {
		p.Versions = append(p.Versions, decodeVersion(d, s))
	}
	checkReplaces(d, p)
	for _, s := range d.Sections("class") {
		p.Classes[s.Name] = decodeClass(d, s)
	}
	for _, s := range d.Sections("service") {
		p.Services[s.Name] = decodeService(d, s)
	}
	return p
}

func decodeTemplateSection(d *inifile.Decoder, p *Policy) {
	s := d.SingleSection("template")
	p.Weights = Weights{
		LatencyCost: d.Float(s, "latencyCost", 0, 0, maxMicroUnits),
		Exposure:    d.Float(s, "exposureWeight", 1, minExposureWeight, maxExposureWeight),
	}
	p.RequestsPerSecond = d.Float(s, "requestsPerSecond", 0, 0, maxRequestsPerSecond)
	p.FairWeight = d.Float(s, "fairWeight", 1, 0.001, 1000)
}

func decodeVersion(d *inifile.Decoder, s *inifile.Section) Version {
	model, number, ok := strings.Cut(s.Name, "@")
	if !ok || model == "" || number == "" {
		d.Faults.Add(s.Pos, "write [version MODEL@VERSION]", "version %q is not MODEL@VERSION", s.Name)
	}
	return Version{
		ID:             s.Name,
		Model:          model,
		State:          State(d.Enum(s, "state", string(Serving), string(RollingIn), string(Serving), string(Draining), string(Withdrawn))),
		PromptCost:     d.Float(s, "promptCost", 0, 0, maxMicroUnits),
		CompletionCost: d.Float(s, "completionCost", 0, 0, maxMicroUnits),
		Exposure:       d.Int(s, "exposure", 20, 1, maxCount),
		MaxShare:       d.Float(s, "share", 0.5, 0, 1),
		PriorQuality:   d.Float(s, "priorQuality", 0.5, 0, 1),
		Trial:          d.Int(s, "trial", 1, 1, maxCount),
		Replaces:       d.String(s, "replaces", ""),
	}
}

func checkReplaces(d *inifile.Decoder, p *Policy) {
	for _, s := range d.Sections("version") {
		v, _ := p.Version(s.Name)
		if v.Replaces == "" {
			continue
		}
		if _, ok := p.Version(v.Replaces); !ok || v.Replaces == v.ID {
			d.Faults.Add(s.Pos, "set replaces to the name of another [version] section", "version %q replaces %q, which is not another version of this template", v.ID, v.Replaces)
		}
	}
}

func decodeClass(d *inifile.Decoder, s *inifile.Section) Class {
	if s.Name == "" {
		d.Faults.Add(s.Pos, "write [class NAME]", "class has no name")
	}
	c := Class{
		Name:          s.Name,
		MaySettle:     d.Bool(s, "maySettle", false),
		QualityTarget: d.Float(s, "qualityTarget", 0.9, 0, 1),
		Timeout:       d.Duration(s, "deadline", defaultTimeout, time.Millisecond, maxTimeout),
		Priority:      d.Int(s, "priority", 5, 0, maxPriority),
		RateShare:     d.Float(s, "rateShare", 0.05, 0, 1),
	}
	c.SettleTarget = d.Float(s, "settleTarget", c.QualityTarget, 0, c.QualityTarget)
	return c
}

func decodeService(d *inifile.Decoder, s *inifile.Section) Service {
	if s.Name == "" {
		d.Faults.Add(s.Pos, "write [service NAME]", "service has no name")
	}
	return Service{
		Name:         s.Name,
		Idempotent:   d.Bool(s, "idempotent", false),
		Timeout:      d.Duration(s, "deadline", defaultTimeout, time.Millisecond, maxTimeout),
		WithoutStore: d.Enum(s, "withoutStore", "refuse", "refuse", "run"),
		Cost:         d.Float(s, "cost", 0, 0, maxMicroUnits),
	}
}
