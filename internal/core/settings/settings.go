package settings

import (
	"os"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/core/inifile"
)

// Settings holds the INI file of one daemon.
type Settings struct {
	Daemon   Daemon
	Platform Platform
	Session  Session
	Limits   Limits
	Fleet    Fleet
	Log      Log
}

// Daemon identifies the VM and sets the addresses that the daemon listens on.
type Daemon struct {
	ID               string
	Region           string
	AvailabilityZone string
	CallerAddress    string
	PeerAddress      string
	OperatorAddress  string
	// CallerAdvertised and PeerAdvertised are the addresses that others connect to, if they differ from those listened on.
	CallerAdvertised string
	PeerAdvertised   string
	// OperatorKey is required on operators' requests; if empty, they need no key.
	OperatorKey string
}

// Platform sets the URLs of the platform's services and how they are used.
type Platform struct {
	Store          string
	VMList         string
	Rater          string
	StoreTimeout   time.Duration
	VMListInterval time.Duration
	// StoreCallRate bounds the calls to the store per second.
	StoreCallRate int
	// WatchersPerAZ is the number of daemons in each availability zone that read the VM list for the others.
	WatchersPerAZ int
	// LeaseDuration is how long a lease lasts after its last renewal.
	LeaseDuration time.Duration
	// OrderFlight is the longest time from sending an order to an engine until it has taken effect.
	OrderFlight time.Duration
	// LoadsAtOnce is the number of engines of a region that may load weights concurrently.
	LoadsAtOnce int
}

// Session holds the keys of session tokens: the first signs, all of them verify.
type Session struct {
	Keys     []string
	Lifetime time.Duration
}

// Limits bounds what callers may send and how long they may take.
type Limits struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxConnections int
	HeaderTimeout  time.Duration
	WriteTimeout   time.Duration
	DefaultTimeout time.Duration
	// MaxResponseBytes bounds the body of a response from a backend server.
	MaxResponseBytes int
	MaxHeldCharges   int
	// StreamStall is the longest pause between chunks before a stream is resumed or ended.
	StreamStall time.Duration
}

// Fleet sets the timing between daemons.
type Fleet struct {
	HeartbeatInterval time.Duration
	// SuspectAfter is the time after a peer's last response at which it is suspected.
	SuspectAfter    time.Duration
	EntriesLifetime time.Duration
	// ChargeFlush is the interval at which held charges are written to the store.
	ChargeFlush time.Duration
	// SpilloverBytesPerSecond bounds the daemon's cross-region spillover.
	SpilloverBytesPerSecond int
	Seeds                   []string
}

// Log sets the level and format of the log.
type Log struct {
	Level  string
	Format string
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.NotFound, "give the path of a readable INI file", "the settings file can't be read").WithCause(err)
	}
	return Parse(path, data)
}

// Parse parses and checks a settings text; the error lists every fault with its position.
func Parse(name string, data []byte) (*Settings, error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return nil, err
	}
	d := inifile.NewDecoder(f, nil)
	s := &Settings{
		Daemon:   decodeDaemon(d),
		Platform: decodePlatform(d),
		Session:  decodeSession(d),
		Limits:   decodeLimits(d),
		Fleet:    decodeFleet(d),
		Log:      decodeLog(d),
	}
	if err := d.Finish(); err != nil {
		return nil, err
	}
	return s, nil
}

func decodeDaemon(d *inifile.Decoder) Daemon {
	s := d.SingleSection("daemon")
	return Daemon{
		ID:               d.Required(s, "id"),
		Region:           d.Required(s, "region"),
		AvailabilityZone: d.Required(s, "availabilityZone"),
		CallerAddress:    d.Address(s, "callerAddress", "127.0.0.1:8080"),
		PeerAddress:      d.Address(s, "peerAddress", "127.0.0.1:7080"),
		OperatorAddress:  d.Address(s, "operatorAddress", "127.0.0.1:9080"),
		CallerAdvertised: d.Address(s, "callerAdvertised", ""),
		PeerAdvertised:   d.Address(s, "peerAdvertised", ""),
		OperatorKey:      d.String(s, "operatorKey", ""),
	}
}

func decodePlatform(d *inifile.Decoder) Platform {
	s := d.SingleSection("platform")
	return Platform{
		Store:          d.Required(s, "store"),
		VMList:         d.Required(s, "vmList"),
		Rater:          d.String(s, "rater", ""),
		StoreTimeout:   d.Duration(s, "storeTimeout", 2*time.Second, 10*time.Millisecond, time.Minute),
		VMListInterval: d.Duration(s, "vmListInterval", time.Second, 10*time.Millisecond, time.Minute),
		StoreCallRate:  d.Int(s, "storeCallRate", 50, 1, 10_000),
		LeaseDuration:  d.Duration(s, "leaseDuration", 20*time.Second, 200*time.Millisecond, 10*time.Minute),
		OrderFlight:    d.Duration(s, "orderFlight", 5*time.Second, 10*time.Millisecond, 5*time.Minute),
		LoadsAtOnce:    d.Int(s, "loadsAtOnce", 2, 1, 1000),
		WatchersPerAZ:  d.Int(s, "watchersPerAvailabilityZone", 2, 1, 100),
	}
}

const (
	minSessionKeyBytes     = 16
	defaultSessionLifetime = 24 * time.Hour
	maxSessionLifetime     = 365 * 24 * time.Hour
	maxByteSetting         = 1 << 30
)

func decodeSession(d *inifile.Decoder) Session {
	s := d.SingleSection("session")
	out := Session{
		Keys:     d.List(s, "keys"),
		Lifetime: d.Duration(s, "lifetime", defaultSessionLifetime, time.Minute, maxSessionLifetime),
	}
	if len(out.Keys) == 0 {
		d.Faults.Add(s.Pos, "set keys = KEY in [session], the same on every daemon", "no session key")
	}
	for _, k := range out.Keys {
		if len(k) < minSessionKeyBytes {
			d.Faults.Add(s.Pos, "use at least 16 characters", "a session key is too short")
		}
	}
	return out
}

func decodeLimits(d *inifile.Decoder) Limits {
	s := d.SingleSection("limits")
	return Limits{
		MaxBodyBytes:     d.Int(s, "maxBodyBytes", 4<<20, 1, maxByteSetting),
		MaxHeaderBytes:   d.Int(s, "maxHeaderBytes", 64<<10, 1<<10, 16<<20),
		MaxConnections:   d.Int(s, "maxConnections", 20_000, 1, 1_000_000),
		HeaderTimeout:    d.Duration(s, "headerTimeout", 5*time.Second, 10*time.Millisecond, time.Minute),
		WriteTimeout:     d.Duration(s, "writeTimeout", 10*time.Second, 10*time.Millisecond, time.Hour),
		DefaultTimeout:   d.Duration(s, "defaultDeadline", time.Minute, 10*time.Millisecond, time.Hour),
		MaxResponseBytes: d.Int(s, "maxAnswerBytes", 16<<20, 1<<10, maxByteSetting),
		StreamStall:      d.Duration(s, "streamStall", 10*time.Second, 10*time.Millisecond, time.Hour),
		MaxHeldCharges:   d.Int(s, "maxHeldCharges", 200_000, 1, 100_000_000),
	}
}

func decodeFleet(d *inifile.Decoder) Fleet {
	s := d.SingleSection("fleet")
	return Fleet{
		HeartbeatInterval:       d.Duration(s, "heartbeatInterval", time.Second, 10*time.Millisecond, time.Minute),
		SuspectAfter:            d.Duration(s, "suspectAfter", 3*time.Second, 50*time.Millisecond, 5*time.Minute),
		EntriesLifetime:         d.Duration(s, "entriesLifetime", 5*time.Second, 0, time.Hour),
		ChargeFlush:             d.Duration(s, "chargeFlush", time.Second, 10*time.Millisecond, 10*time.Minute),
		SpilloverBytesPerSecond: d.Int(s, "linkBytesPerSecond", 400_000, 0, maxByteSetting),
		Seeds:                   d.List(s, "seeds"),
	}
}

func decodeLog(d *inifile.Decoder) Log {
	s := d.SingleSection("log")
	return Log{
		Level:  d.Enum(s, "level", "info", "debug", "info", "warn", "error"),
		Format: d.Enum(s, "format", "json", "json", "text"),
	}
}
