package quarantine

import (
	"bytes"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/decide/poison"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

const (
	// reportPrefix is the key prefix of the daemons' reports, one for each VM.
	reportPrefix = "crashes/"
	// maxObjections bounds the parts that a daemon clears for others.
	maxObjections = 64
)

// lastPublished is the report as it was last published, without ages, and when.
type lastPublished struct {
	body []byte
	at   time.Time
}

// object clears the parts that other daemons suspect and that this one knows to crash no server, unless another daemon has
// done so a short while ago.
func (s *Service) object(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for part := range s.evidence.Suspects() {
		at, ok := s.cleared.Peek(part)
		if !ok || now.Sub(at) >= poison.ClearedFor || now.Sub(s.evidence.ClearedAt(part)) < poison.ClearedFor/2 || len(s.objections) >= maxObjections {
			continue
		}
		s.evidence.Clear(part, at)
		s.objections[part] = at
		s.lastChange = now
	}
}

// publishReport publishes this daemon's report if it has changed, and again for a time in case it was lost.
func (s *Service) publishReport(now time.Time) {
	s.mu.Lock()
	rec := s.reportAt(now)
	body := s.reportBody()
	unchanged := bytes.Equal(body, s.published.body)
	repeat := len(body) > 0 && now.Sub(s.lastChange) < activeTime && now.Sub(s.published.at) >= repeatInterval
	if unchanged && !repeat {
		s.mu.Unlock()
		return
	}
	s.published = lastPublished{body, now}
	s.mu.Unlock()
	s.publish(reportPrefix+s.opts.VM, rec)
}

func (s *Service) publish(key string, rec proto.Message) {
	if err := s.gossip.PublishOwn(key, rec); err != nil {
		s.log.Emit(event.PeerMessageWrong, "key", key, "error", err.Error())
	}
}

// reportBody returns the encoded report without ages, to compare. Callers hold s.mu.
func (s *Service) reportBody() []byte {
	rec := s.reportAt(time.Time{})
	for _, end := range rec.GetEnds() {
		end.AgeMs = 0
	}
	for _, c := range rec.GetCleared() {
		c.AgeMs = 0
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(rec)
	if err != nil {
		return nil // the messages hold no text that is not UTF-8
	}
	return body
}

// reportAt returns this daemon's report. Callers hold s.mu.
func (s *Service) reportAt(now time.Time) *peerpb.CrashRecord {
	rec := &peerpb.CrashRecord{}
	for _, end := range s.ownEnds {
		e := &peerpb.ServerEnd{Server: end.Server, AgeMs: now.Sub(end.At).Milliseconds()}
		for _, sus := range end.Suspects {
			e.Suspects = append(e.Suspects, &peerpb.SuspectedPart{
				Part: sus.Part, SentBeforeMs: end.At.Sub(sus.SentAt).Milliseconds(), Answering: sus.Answering, ExposureMs: sus.Exposure.Milliseconds(),
			})
		}
		rec.Ends = append(rec.Ends, e)
	}
	for _, part := range sortedKeys(s.objections) {
		rec.Cleared = append(rec.Cleared, &peerpb.ClearedPart{Part: part, AgeMs: now.Sub(s.objections[part]).Milliseconds()})
	}
	return rec
}

// handleReport adopts the report of another daemon. Its ages count from now, as the clocks of VMs may differ.
func (s *Service) handleReport(r relay.Record) {
	daemon := strings.TrimPrefix(r.Key, reportPrefix)
	if daemon == s.opts.VM {
		return
	}
	var rec peerpb.CrashRecord
	if err := proto.Unmarshal(r.Body, &rec); err != nil {
		s.log.Emit(event.PeerMessageWrong, "key", r.Key, "error", err.Error())
		return
	}
	now := time.Now()
	ends := make([]poison.End, 0, len(rec.GetEnds()))
	for _, e := range rec.GetEnds()[:min(len(rec.GetEnds()), maxReportedEnds)] {
		end := poison.End{Server: e.GetServer(), At: now.Add(-millis(e.GetAgeMs()))}
		for _, sus := range e.GetSuspects()[:min(len(e.GetSuspects()), maxSuspectsPerEnd)] {
			end.Suspects = append(end.Suspects, poison.Suspect{
				Part: sus.GetPart(), SentAt: end.At.Add(-millis(sus.GetSentBeforeMs())), Answering: sus.GetAnswering(), Exposure: max(0, millis(sus.GetExposureMs())),
			})
		}
		ends = append(ends, end)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.Replace(daemon, ends)
	for _, c := range rec.GetCleared()[:min(len(rec.GetCleared()), maxObjections)] {
		s.evidence.Clear(c.GetPart(), now.Add(-millis(c.GetAgeMs())))
	}
	s.noteChange()
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
