package cases

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// maxDuration ends a script that hangs.
const maxDuration = 110 * time.Second

// Script holds what a script has started.
type Script struct {
	Record  *Record
	Store   *Store
	Daemons []*Daemon
	// Trouble is false if TROUBLE=0 asks for a run without the disruption.
	Trouble bool

	dir string
}

// NewScript starts a store with a configuration and prepares daemons. The first argument of the program is the folder
// of the case, the second the program of deploy/system.toml.
func NewScript(daemons int) (*Script, error) {
	if len(os.Args) != 3 {
		return nil, fmt.Errorf("usage: %s CASE-FOLDER DAEMON-PROGRAM", os.Args[0])
	}
	rec, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &Script{Record: rec, Trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	if s.Store, err = NewStore(); err != nil {
		return nil, err
	}
	s.Store.Put("config", "main", Config(1))
	s.Daemons, err = NewDaemons(daemons, os.Args[2], dir, s.Store.Address, rec)
	return s, err
}

// StartDaemons starts all daemons and waits until they are ready.
func (s *Script) StartDaemons() error {
	for _, d := range s.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	for _, d := range s.Daemons {
		if err := d.AwaitReady(readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// Each calls fn for all daemons at the same time and waits for it.
func (s *Script) Each(fn func(d *Daemon)) {
	var wg sync.WaitGroup
	for _, d := range s.Daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			fn(d)
		}()
	}
	wg.Wait()
}

// Close ends the daemons. It keeps their logs if KEEP names a folder.
func (s *Script) Close() {
	stopping.Store(true)
	s.Each(func(d *Daemon) { d.Kill() })
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, d := range s.Daemons {
			if data, err := os.ReadFile(d.log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, d.Name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(s.dir)
	s.Record.Close()
}

// Main runs a script and exits with its result.
func Main(daemons int, run func(s *Script) (broken bool, err error)) {
	s, err := NewScript(daemons)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGQUIT)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		s.Record.Say("could not run: it took too long or was stopped")
		s.Close()
		os.Exit(ExitNotRun)
	}()
	broken, err := run(s)
	switch {
	case err != nil:
		s.Record.Say("could not run: %v", err)
	case broken:
		s.Record.Say("the rule was broken")
	default:
		s.Record.Say("the rule held")
	}
	s.Close()
	switch {
	case err != nil:
		os.Exit(ExitNotRun)
	case broken:
		os.Exit(ExitBroken)
	}
	os.Exit(ExitHeld)
}
