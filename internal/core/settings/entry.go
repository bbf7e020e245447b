package settings

import "time"

// Entry is what one daemon on the users' platform is told at its start.
type Entry struct {
	// ID names the VM; its processes come and go under the same ID.
	ID               string
	Region           string
	AvailabilityZone string
	// ZoneRegion gives the region of each availability zone.
	ZoneRegion map[string]string

	CallerAddress    string
	ReadyAddress     string
	PeerAddress      string
	DirectoryAddress string
	// MetricsAddress serves counters, histograms and the state dump.
	MetricsAddress string
	// Seeds are peer addresses of some daemons; they may be stale.
	Seeds []string

	StoreAddress string
	// CPUShare is the part of a core that the daemon has.
	CPUShare    float64
	MemoryBytes int64
	MaxFDs      int

	Bounds Bounds
}

// Bounds are the operators' limits on the behaviour of the fleet.
type Bounds struct {
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// EntriesLifetime is the longest time that callers keep a list of entry addresses.
	EntriesLifetime time.Duration
	// RetryRatio and RetrySlack bound the repeats to a service over the fleet in each RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ExposureShare and ExposureSlack bound the requests that a bad version gets during a roll-out.
	ExposureShare float64
	ExposureSlack float64
	// SessionLifetime is the longest pause between requests of one session.
	SessionLifetime time.Duration
}
