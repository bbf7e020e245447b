package standin3

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	hostileCallers = 1000
	// headerBytes is less than the 64 KiB at which the daemon ends a header.
	headerBytes = 60 << 10
	// linkBytesPerSecond is below the machine's linkMbps of 200.
	linkBytesPerSecond = 20 << 20
)

// playHeaders lets callers send the beginning of a header with many short fields, and no more.
func playHeaders(ctx context.Context, s *site) (bool, error) {
	for _, z := range []string{"bagmati-thamel", "bagmati-patan"} {
		if _, err := s.addDaemon(z); err != nil {
			return false, err
		}
		if err := s.addBackend(&backend{id: "i-" + z, service: "channel-core", zone: z, slots: 6}); err != nil {
			return false, err
		}
	}
	s.configure(7, route("availability-read", "/read/", "safe", "channel-core", nil))
	if err := s.startAll(ctx); err != nil {
		return false, err
	}
	victim := s.daemons[0]
	var ok, failed atomic.Int64
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	go func() {
		for i := 0; callers.Err() == nil; time.Sleep(100 * time.Millisecond) {
			i++
			go func() {
				id := fmt.Sprintf("r%06d", i)
				status, _ := send(callers, victim, http.MethodGet, "/read/x", id, nil)
				s.printf("answered %s by %s status=%d", id, victim.name, status)
				if status == http.StatusOK {
					ok.Add(1)
				} else {
					failed.Add(1)
				}
			}()
		}
	}()
	limit := int64(s.limits["memoryMb"].(int)) << 20
	pid := victim.cmd.Process.Pid
	pause(ctx, 3*time.Second)
	s.printf("memory of %s: %d MiB of %d", victim.name, residentBytes(pid)>>20, limit>>20)
	if s.trouble {
		go sendHeaders(callers, s, victim)
	}
	var peak int64
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, 200*time.Millisecond) {
		rss := residentBytes(pid)
		if rss > peak {
			peak = rss
		}
		s.printf("memory of %s: %d MiB of %d", victim.name, rss>>20, limit>>20)
	}
	s.printf("peak of %s: %d MiB of %d; ordinary requests answered: %d, not: %d", victim.name, peak>>20, limit>>20, ok.Load(), failed.Load())
	return peak > limit || !victim.isRunning(), nil
}

// sendHeaders opens the connections and sends the headers at the speed of the machine's link.
func sendHeaders(ctx context.Context, s *site, d *daemon) {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "GET /read/x HTTP/1.1\r\nHost: %s\r\n", host)
	for i := 0; b.Len() < headerBytes; i++ {
		_, _ = fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(i)+46656, 36))
	}
	s.printf("each of %d callers sends %d bytes of a header and waits", hostileCallers, b.Len())
	for range hostileCallers {
		if ctx.Err() != nil {
			return
		}
		c, err := net.DialTimeout("tcp4", d.front(), time.Second)
		if err != nil {
			s.printf("hostile caller: %v", err)
			continue
		}
		context.AfterFunc(ctx, func() { _ = c.Close() })
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		go func() { _, _ = c.Write(b.Bytes()) }()
		pause(ctx, time.Duration(float64(b.Len())/linkBytesPerSecond*float64(time.Second)))
	}
	s.printf("all headers are sent")
}

// residentBytes returns the memory that a process holds.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
