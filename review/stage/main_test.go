package stage

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// verdict is how a case ended; its value is the exit code.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2
)

// play plays one case with or without its disruption.
type play func(s *site, trouble bool) (verdict, error)

var cases = map[string]play{
	"unsure-stream":   playUnsureStream,
	"model-names":     playModelNames,
	"prompt-parts":    playPromptParts,
	"paused-streams":  playPausedStreams,
	"unreadable-part": playUnreadablePart,
}

// TestMain plays a case instead of tests, of which there are none.
func TestMain(*testing.M) {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "the file to write what happened to")
	flag.Parse()
	os.Exit(int(run(*name, *record)))
}

func run(name, record string) verdict {
	p, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return failed
	}
	s, err := newSite(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.stop()
		os.Exit(int(failed))
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	s.notef("case %s, with the disruption: %t", name, trouble)
	v, err := p(s, trouble)
	if err != nil {
		s.notef("%v: %v", errSetup, err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s.notef("exit code %d", v)
	return v
}
