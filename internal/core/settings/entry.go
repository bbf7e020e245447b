package settings

import "time"

// Entry holds the start-up settings of a daemon on the users' platform.
type Entry struct {
	// ID names the VM; each process that runs on it has the same ID.
	ID               string
	Region           string
	AvailabilityZone string
	// ZoneRegion maps each availability zone to its region.
	ZoneRegion map[string]string

	CallerAddress    string
	ReadyAddress     string
	PeerAddress      string
	DirectoryAddress string
	// MetricsAddress is where counters, histograms and the state dump are served.
	MetricsAddress string
	// Seeds are peer addresses of some daemons; some may be out of date.
	Seeds []string

	StoreAddress string
	// CPUShare is the fraction of a CPU core that the daemon may use.
	CPUShare    float64
	MemoryBytes int64
	MaxFDs      int

	Bounds Bounds
}

// Bounds are limits that operators set on the behaviour of the fleet.
type Bounds struct {
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// EntriesLifetime is the longest time that callers cache a list of entry addresses.
	EntriesLifetime time.Duration
	// Contact is the time within which the daemons have to act together on what one of them has seen.
	Contact time.Duration
	// ConfigApply is the time within which a configuration that the store has accepted has to be in force.
	ConfigApply time.Duration
	// Evacuate is the time within which the evacuation of an availability zone has to be in force; 0 if zones are not
	// evacuated.
	Evacuate time.Duration
	// RetryRatio and RetrySlack set the retry budget of a service over the whole fleet: in each RetryWindow, retries
	// may number RetryRatio times the requests, plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ExposureShare and ExposureSlack bound the requests that a bad version gets during a roll-out.
	ExposureShare float64
	ExposureSlack float64
	// SessionLifetime is the longest pause between two requests of a session.
	SessionLifetime time.Duration
}
