package standin3

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	held = iota
	broken
	notRun
)

// playLimit bounds a case.
const playLimit = 110 * time.Second

// cases maps the names of the cases to their functions, which report whether the rule was broken.
var cases = map[string]func(ctx context.Context, s *site) (bool, error){
	"evacuation": playEvacuation,
	"headers":    playHeaders,
	"poison":     playPoison,
	"foreign":    playForeign,
}

// TestMain plays a case instead of tests, of which there are none: standin3 CASE RECORD.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, start: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), playLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	s, err := newSite(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("not run: %v", err)
		return notRun
	}
	defer s.close()
	isBroken, err := cases[name](ctx, s)
	switch {
	case err != nil || ctx.Err() != nil:
		rec.printf("not run: %v %v", err, ctx.Err())
		fmt.Fprintln(os.Stderr, "not run:", err, ctx.Err())
		return notRun
	case isBroken:
		rec.printf("result: broken")
		fmt.Println("broken")
		return broken
	default:
		rec.printf("result: held")
		fmt.Println("held")
		return held
	}
}
