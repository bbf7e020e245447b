package cases

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

const (
	// pinnedDaemons are the machines of the case, pinnedSeeds those that the settings name as seeds; they are killed.
	pinnedDaemons = 6
	pinnedSeeds   = 3
	pinnedServers = 6
	sessionCount  = 180
	// sessionEvery is the pause between two requests of a session; after requestsPerConn of them its client connects anew.
	sessionEvery    = 800 * time.Millisecond
	requestsPerConn = 6
	pinnedEvents    = 4
	// startedFor is how long the sessions have run when the seeds are killed.
	startedFor = 3 * time.Second
	// restartDelay is the time from the kill of a daemon to its start, orderDelay that from the kill to the roll-out.
	restartDelay = 500 * time.Millisecond
	orderDelay   = 8 * time.Second
	rolloutTime  = 24 * time.Second
	sessionTTL   = 5 * time.Second
	maxMoved     = 3
	oldVersion   = "v1"
	newVersion   = "v2"
)

// sessionRun is one request of a session.
type sessionRun struct {
	session, id    string
	daemon         *Daemon
	sentAt, endsAt time.Time
	version        string
	ok             bool
}

type pinnedSite struct {
	script *Script

	mu       sync.Mutex
	versions map[string]string
	runs     map[string][]sessionRun
	// backAt is when the killed daemons were ready again, orderedAt when the store took the order.
	backAt, orderedAt time.Time
}

// runSeeds kills the machines that are seeds at the same moment and rolls out a good version some seconds later.
func runSeeds(s *Script) (bool, error) {
	st := &pinnedSite{script: s, versions: map[string]string{}, runs: map[string][]sessionRun{}}
	if err := st.startServers(oldVersion); err != nil {
		return false, err
	}
	if err := s.StartDaemons(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range sessionCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			st.playSession(fmt.Sprintf("session-%d", n), zones[n%len(zones)], stop)
		}()
	}
	time.Sleep(startedFor)
	killedAt := time.Now()
	if s.Trouble {
		if err := st.restartSeeds(); err != nil {
			return false, err
		}
	}
	st.mu.Lock()
	st.backAt = time.Now()
	st.mu.Unlock()
	time.Sleep(time.Until(killedAt.Add(orderDelay)))
	if err := st.startServers(newVersion); err != nil {
		return false, err
	}
	s.Store.Put("rollouts", "quote-writer", map[string]any{"service": "quote-writer", "target": newVersion, "durationS": rolloutTime.Seconds()})
	st.mu.Lock()
	st.orderedAt = time.Now()
	st.mu.Unlock()
	s.Record.Say("the roll-out of %s is ordered", newVersion)
	time.Sleep(rolloutTime)
	close(stop)
	wg.Wait()
	return st.moved() > maxMoved, nil
}

func (st *pinnedSite) startServers(version string) error {
	for n := range pinnedServers {
		s := NewServer(fmt.Sprintf("i-%s-%d", version, n), "quote-writer", zones[n%len(zones)], 48, st.script.Store, st.script.Record, st.handle)
		s.Version = version
		if err := s.Start(); err != nil {
			return err
		}
	}
	return nil
}

// restartSeeds kills the seeds at the same moment and starts them again.
func (st *pinnedSite) restartSeeds() error {
	seeds := st.script.Daemons[:pinnedSeeds]
	var wg sync.WaitGroup
	for _, d := range seeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.Kill()
		}()
	}
	wg.Wait()
	st.script.Record.Say("the %d seeds of %d machines were killed", pinnedSeeds, pinnedDaemons)
	time.Sleep(restartDelay)
	for _, d := range seeds {
		if err := d.Start(); err != nil {
			return err
		}
	}
	for _, d := range seeds {
		if err := d.AwaitReady(readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

func (st *pinnedSite) handle(s *Server, c net.Conn, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	st.mu.Lock()
	st.versions[id] = s.Version
	st.mu.Unlock()
	st.script.Record.Add("request %s runs at %s", id, s.ID)
	time.Sleep(20 * time.Millisecond)
	if WriteHead(c, s, r, "text/event-stream", -1) != nil {
		return
	}
	for i := 1; i <= pinnedEvents; i++ {
		if WriteChunk(c, fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i)) != nil {
			return
		}
		time.Sleep(soundEventEvery)
	}
	_ = WriteChunk(c, "")
}

// playSession sends one request of a session after the other. For each new connection the client asks a directory of its
// zone for addresses and picks one at random.
func (st *pinnedSite) playSession(session, zone string, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(uint64(len(session)), uint64(session[len(session)-1])+uint64(session[len(session)-2])<<8))
	time.Sleep(time.Duration(rng.Int64N(int64(sessionEvery))))
	var d *Daemon
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if d == nil || n%requestsPerConn == 0 {
			d = st.resolve(zone, rng)
		}
		if d != nil && !st.request(session, fmt.Sprintf("%s-%d", session, n), d) {
			d = nil
		}
		time.Sleep(sessionEvery)
	}
}

// resolve returns a machine that a directory of the zone names; nil if none answers.
func (st *pinnedSite) resolve(zone string, rng *rand.Rand) *Daemon {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range rng.Perm(len(st.script.Daemons)) {
		at := st.script.Daemons[i]
		if at.Zone != zone {
			continue
		}
		q := url.Values{"name": {Host}, "region": {zoneRegion[zone]}, "zone": {zone}}
		resp, err := client.Get("http://" + at.directoryAt + "/resolve?" + q.Encode())
		if err != nil {
			continue
		}
		var list struct{ Addresses []string }
		err = json.NewDecoder(resp.Body).Decode(&list)
		_ = resp.Body.Close()
		if err != nil || len(list.Addresses) == 0 {
			continue
		}
		address := list.Addresses[rng.IntN(len(list.Addresses))]
		for _, d := range st.script.Daemons {
			if d.Caller == address {
				return d
			}
		}
	}
	return nil
}

// request sends one request of a session and reports whether it was answered whole.
func (st *pinnedSite) request(session, id string, d *Daemon) bool {
	st.script.Record.Add("request %s to %s", id, d.Name)
	a := Send(d.Caller, Call{
		ID: id, Method: http.MethodPost, Path: "/rewrite/x", Timeout: 25 * time.Second,
		Header: map[string]string{
			"X-Request-Deadline": "25000", "Api-Key": Key, "X-Model": "m1", "X-Token-Usage": "300,100", "Session": session,
			"X-Prompt-Prefix": strings.Join([]string{"f1", "m1", session}, ":100,") + ":100",
		},
		Body: []byte("{}"),
	})
	whole := a.Status == http.StatusOK && a.Complete
	st.mu.Lock()
	version := st.versions[id]
	st.runs[session] = append(st.runs[session], sessionRun{session, id, d, a.SentAt, a.AnsweredAt, version, whole})
	st.mu.Unlock()
	st.script.Record.Add("request %s answered %d, complete %t, by %s", id, a.Status, a.Complete, version)
	return whole
}

// moved counts the requests that ran on another version than the one before in their session: on the new one in the first
// half of the roll-out, or on the old one though the new one is good. Both requests were sent after the killed daemons were
// back, less than sessionTtlS apart, the second one through a daemon in touch.
func (st *pinnedSite) moved() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	state := st.script.Store.Status("rollouts", "quote-writer")
	st.script.Record.Say("the state of the roll-out is %v", state)
	moved, early, back := 0, 0, 0
	for _, runs := range st.runs {
		for i := 1; i < len(runs); i++ {
			prev, cur := runs[i-1], runs[i]
			switch {
			case prev.version == "" || cur.version == "" || prev.version == cur.version:
			case prev.sentAt.Before(st.backAt) || cur.sentAt.Sub(prev.endsAt) >= sessionTTL:
			case cur.sentAt.Before(cur.daemon.StartedAt().Add(ContactTime)):
			case cur.version == newVersion && cur.sentAt.Before(st.orderedAt.Add(rolloutTime/2)):
				early++
			case cur.version == oldVersion:
				back++
			default:
				continue
			}
		}
	}
	moved = early + back
	st.script.Record.Say("%d requests ran on the new version in the first half of its roll-out after one on the old version, %d on the old version after one on the new version; the bound of both is %d", early, back, maxMoved)
	return moved
}
