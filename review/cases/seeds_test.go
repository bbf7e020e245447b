package cases

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// seedsDaemons are the machines of the case, seedsKilled the first of them, which the settings name as seeds.
	seedsDaemons = 6
	seedsKilled  = 3
	// verdictTime is the time from the first requests with the part to the kill, restartDelay that to the new start.
	verdictTime  = 5 * time.Second
	restartDelay = 500 * time.Millisecond
	// seedsEvery is the time between two requests with the part after the kill.
	seedsEvery = 2 * time.Second
)

// seedsOrder holds the machines that get the requests with the part after the kill, one after the other.
var seedsOrder = []int{3, 4, 0, 5, 1, 3, 2, 4}

// runSeeds plays a prompt part that crashes servers. Once the daemons keep it from the servers, the machines that are seeds
// are killed at the same moment.
func runSeeds(s *Script) (bool, error) {
	st := &headCutSite{script: s, mode: modeWhole, sentTo: map[string]*Daemon{}}
	for range headCutServers {
		if err := st.startServer(); err != nil {
			return false, err
		}
	}
	if err := s.StartDaemons(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		st.sendSound(stop)
	}()
	time.Sleep(2 * time.Second)
	for n := range 2 {
		st.send(fmt.Sprintf("bad-first-%d", n), s.Daemons[seedsKilled+n], "f1,"+crashPart)
	}
	time.Sleep(verdictTime)
	if s.Trouble {
		if err := st.restartSeeds(); err != nil {
			return false, err
		}
	}
	for n, i := range seedsOrder {
		next := time.Now().Add(seedsEvery)
		st.recordLists()
		st.send(fmt.Sprintf("bad-%d", n), s.Daemons[i], "f1,"+crashPart)
		time.Sleep(time.Until(next))
	}
	close(stop)
	wg.Wait()
	return st.late() > maxLate, nil
}

// restartSeeds kills the seeds at the same moment and starts them again.
func (st *headCutSite) restartSeeds() error {
	seeds := st.script.Daemons[:seedsKilled]
	var wg sync.WaitGroup
	for _, d := range seeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.Kill()
		}()
	}
	wg.Wait()
	st.script.Record.Say("the %d seeds of %d machines were killed", seedsKilled, seedsDaemons)
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

// recordLists records which machines each directory names to a client of no zone.
func (st *headCutSite) recordLists() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, at := range st.script.Daemons {
		resp, err := client.Get("http://" + at.directoryAt + "/resolve?name=" + Host + "&region=none&zone=none")
		if err != nil {
			continue
		}
		var list struct{ Addresses []string }
		err = json.NewDecoder(resp.Body).Decode(&list)
		_ = resp.Body.Close()
		if err != nil {
			continue
		}
		var names []string
		for _, d := range st.script.Daemons {
			for _, a := range list.Addresses {
				if a == d.Caller {
					names = append(names, d.Name)
				}
			}
		}
		st.script.Record.Add("the directory of %s names %s", at.Name, strings.Join(names, " "))
	}
}
