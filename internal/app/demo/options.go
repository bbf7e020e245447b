package demo

import (
	_ "embed"
	"strings"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/standin/engine"
	"github.com/pollencourse/pollencourse/internal/standin/world"
)

// Options sets the load of the demo.
type Options struct {
	Requests    int
	Bookings    int
	Concurrency int
}

// DefaultOptions returns a load that takes well under half a minute.
func DefaultOptions() Options { return Options{Requests: 1500, Bookings: 60, Concurrency: 24} }

//go:embed quotes.ini
var quotesTemplate string

const (
	templateName = "quotes"
	webKey       = "demo-web-key"
	phoneKey     = "demo-phone-key"
)

// templateText returns the demo's template with the hashes of its two accounts' keys in place of those in the file.
func templateText() []byte {
	r := strings.NewReplacer(
		"8e6fcf12a9d8e0d9f8a53fcac02ff1a2bea1bb5e6ce0ad3e0b20d79f5a1f0b8d", template.HashKey(webKey),
		"7e6fcf12a9d8e0d9f8a53fcac02ff1a2bea1bb5e6ce0ad3e0b20d79f5a1f0b8d", template.HashKey(phoneKey),
	)
	return []byte(r.Replace(quotesTemplate))
}

func zones() []world.Zone {
	return []world.Zone{
		{Region: "pwani", AvailabilityZone: "pwani-a"},
		{Region: "pwani", AvailabilityZone: "pwani-b"},
		{Region: "kaskazini", AvailabilityZone: "kaskazini-a"},
	}
}

// layout places an engine for each model, and a server for each service, in each availability zone.
func layout() world.Layout {
	var l world.Layout
	l.RatingDelay = 20 * time.Millisecond
	add := func(z world.Zone, timeToFirstToken, interTokenLatency time.Duration, serves map[string]float64) {
		l.Engines = append(l.Engines, world.EngineGroup{Zone: z, Count: 1, Spec: engine.Spec{
			Serves: serves, TimeToFirstToken: timeToFirstToken, InterTokenLatency: interTokenLatency, Slots: 32, Tokens: 20,
		}})
	}
	for _, z := range zones() {
		add(z, 4*time.Millisecond, time.Millisecond, map[string]float64{"quill-small@3": 0.70})
		add(z, 8*time.Millisecond, time.Millisecond, map[string]float64{"quill-medium@2": 0.88, "quill-medium@3": 0.90})
		add(z, 15*time.Millisecond, 2*time.Millisecond, map[string]float64{"quill-large@1": 0.985})
		l.Bookings = append(l.Bookings,
			world.BookingGroup{Zone: z, Count: 1, Service: "bookings"},
			world.BookingGroup{Zone: z, Count: 1, Service: "prices"})
	}
	return l
}
