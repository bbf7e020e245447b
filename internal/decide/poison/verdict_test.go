package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time after the start of a test.
func at(s float64) time.Time { return testStart.Add(time.Duration(s * float64(time.Second))) }

const testServers = 12

func testCase(now float64) Case {
	return Case{Now: at(now), Servers: testServers, MinSpan: 2 * time.Second, Convicted: func(string) bool { return false }}
}

// ending returns the end of a server under answers to requests with the given parts, which began just before.
func ending(server string, s float64, parts ...string) End {
	end := End{Server: server, At: at(s)}
	for _, p := range parts {
		end.Suspects = append(end.Suspects, Suspect{Part: p, SentAt: at(s - 0.3), Answering: true, Exposure: 80 * time.Millisecond})
	}
	return end
}

// sequence returns ends of different servers one after the other under the same parts.
func sequence(from, every float64, n int, parts ...string) []End {
	var out []End
	for i := range n {
		s := from + float64(i)*every
		out = append(out, ending(fmt.Sprint("i-", s), s, parts...))
	}
	return out
}

func convictedParts(verdicts []Verdict) []string {
	out := []string{}
	for _, v := range verdicts {
		out = append(out, v.Part)
	}
	return out
}

// TestVerdicts guards against parts that are convicted without cause, and against parts that crash servers and are not.
func TestVerdicts(t *testing.T) {
	tests := []struct {
		name    string
		reports map[string][]End
		cleared map[string]float64
		now     float64
		want    []string
	}{
		{"too few ends", map[string][]End{"a": sequence(0, 0.5, 3, "p")}, nil, 5, []string{}},
		{"one part under all ends", map[string][]End{"a": sequence(0, 0.5, 5, "p")}, nil, 5, []string{"p"}},
		{"too early for answers to clear it", map[string][]End{"a": sequence(0, 0.3, 5, "p")}, nil, 1.5, []string{}},
		{"reports of several daemons", map[string][]End{"a": sequence(0, 1, 2, "p"), "b": sequence(0.5, 1, 2, "p")}, nil, 5, []string{"p"}},
		{"the same ends reported twice", map[string][]End{"a": sequence(0, 1, 3, "p"), "b": sequence(0, 1, 3, "p")}, nil, 5, []string{}},
		{"an answer was whole since", map[string][]End{"a": sequence(0, 0.5, 5, "p")}, map[string]float64{"p": 4}, 5, []string{}},
		{"company that was cleared", map[string][]End{"a": sequence(0, 0.5, 5, "first", "p")}, map[string]float64{"first": 1}, 5, []string{"p"}},
		{"company that nothing tells from it", map[string][]End{"a": sequence(0, 0.5, 5, "alone", "p")}, nil, 5, []string{"alone", "p"}},
		{"two parts in turn", map[string][]End{"a": sequence(0, 1, 5, "p"), "b": sequence(0.5, 1, 5, "q")}, nil, 6, []string{"p", "q"}},
		{"servers that end together", map[string][]End{"a": sequence(0, 0.001, 10, "p")}, nil, 5, []string{}},
		{"few of many ends", map[string][]End{"a": sequence(0, 1, 4, "p"), "b": sequence(0, 0.1, 60, "q")}, map[string]float64{"q": 5}, 7, []string{}},
		{"ends long ago", map[string][]End{"a": sequence(-200, 0.5, 5, "p")}, nil, 5, []string{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := NewEvidence()
			for daemon, ends := range tt.reports {
				e.Replace(daemon, ends)
			}
			for part, s := range tt.cleared {
				e.Clear(part, at(s))
			}
			e.Expire(at(tt.now))
			require.ElementsMatch(t, tt.want, convictedParts(e.Evaluate(testCase(tt.now))))
		})
	}
}

// TestContentsAndParts guards against convicting a part that one request brought again and again, and against convicting each
// request of a part that many share.
func TestContentsAndParts(t *testing.T) {
	content := func(name string) string { return ContentKey([]string{name}, nil) }
	repeated, other := content("repeated"), content("other")
	// each returns ends under one part, of three of which in turn the same request is a suspect.
	each := func(n int) []End {
		var out []End
		for i := range n {
			s := float64(i) / 2
			out = append(out, ending(fmt.Sprint("i-", s), s, "p", content(fmt.Sprint("r", i/3))))
		}
		return out
	}
	tests := []struct {
		name    string
		reports map[string][]End
		now     float64
		want    []string
	}{
		{"one request again and again", map[string][]End{"a": sequence(0, 0.5, 6, "alone", repeated)}, 5, []string{repeated}},
		{"three ends of it", map[string][]End{"a": sequence(0, 0.5, 3, "alone", repeated)}, 5, []string{repeated}},
		{"two ends of it", map[string][]End{"a": sequence(0, 0.5, 2, "alone", repeated)}, 5, []string{}},
		{"servers that end together", map[string][]End{"a": sequence(0, 0.001, 6, repeated)}, 5, []string{}},
		{"a part of several requests", map[string][]End{"a": each(7)}, 6, []string{"p"}},
		{"a request that was there by chance", map[string][]End{"a": sequence(0, 0.5, 8, repeated), "b": sequence(0, 0.5, 3, other)}, 6, []string{repeated}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := NewEvidence()
			for daemon, ends := range tt.reports {
				e.Replace(daemon, ends)
			}
			require.ElementsMatch(t, tt.want, convictedParts(e.Evaluate(testCase(tt.now))))
		})
	}
}

// TestOnlyRepeatsHaveTheSameContentKey guards against requests that are held back for one another.
func TestOnlyRepeatsHaveTheSameContentKey(t *testing.T) {
	keys := map[string]bool{}
	for _, r := range []struct {
		fields []string
		body   string
	}{{[]string{"a", "b"}, "x"}, {[]string{"ab", ""}, "x"}, {[]string{"", "ab"}, "x"}, {[]string{"a", "b"}, "y"}, {[]string{"a"}, "bx"}} {
		key := ContentKey(r.fields, []byte(r.body))
		require.True(t, IsContent(key))
		require.False(t, keys[key], "%v", r)
		keys[key] = true
		require.Equal(t, key, ContentKey(r.fields, []byte(r.body)))
		require.NotEqual(t, key, PartKey(key), "a caller can't name the content of another request as a part")
	}
}

// TestAConvictedPartExplainsItsEnds guards against convicting the company of a part that is convicted already.
func TestAConvictedPartExplainsItsEnds(t *testing.T) {
	e := NewEvidence()
	e.Replace("a", sequence(0, 0.5, 8, "p", "company"))
	c := testCase(6)
	c.Convicted = func(part string) bool { return part == "p" }
	require.Empty(t, e.Evaluate(c))
}

// TestAPartWhoseEndsAConvictedOneSharesIsConvicted guards against a part that crashes servers beside a convicted one and is
// convicted too late, and against convicting its company for shared ends alone.
func TestAPartWhoseEndsAConvictedOneSharesIsConvicted(t *testing.T) {
	for _, tt := range []struct {
		name        string
		shared, own int
		now         float64
		want        []string
	}{
		{"shared ends only", 6, 0, 6, []string{}},
		{"two of its own", 6, 2, 6, []string{}},
		{"three of its own", 2, 3, 6, []string{"q"}},
		{"three of its own, and no others", 0, 3, 6, []string{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := NewEvidence()
			e.Replace("a", sequence(0, 0.5, tt.shared, "p", "q"))
			e.Replace("b", sequence(2.1, 0.3, tt.own, "q"))
			c := testCase(tt.now)
			c.Convicted = func(part string) bool { return part == "p" }
			require.ElementsMatch(t, tt.want, convictedParts(e.Evaluate(c)))
		})
	}
}

// TestAForgottenPartNeedsNewEnds guards against a part that is convicted again for ends of before it was released.
func TestAForgottenPartNeedsNewEnds(t *testing.T) {
	e := NewEvidence()
	e.Replace("a", sequence(0, 0.5, 8, "p"))
	e.Forget("p", at(6))
	require.Empty(t, e.Evaluate(testCase(7)))
	e.Replace("a", sequence(7, 0.5, 5, "p"))
	require.Equal(t, []string{"p"}, convictedParts(e.Evaluate(testCase(11))))
}

// TestVerdictsDependOnTheEvidenceAlone guards against verdicts that differ between daemons that know the same.
func TestVerdictsDependOnTheEvidenceAlone(t *testing.T) {
	parts := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 12).Draw(t, "ends")
		var ends []End
		for i := range n {
			s := rapid.Float64Range(0, 10).Draw(t, "at")
			ends = append(ends, ending(fmt.Sprint("i-", i), s, rapid.SliceOfNDistinct(parts, 0, 3, rapid.ID).Draw(t, "parts")...))
		}
		x, y := NewEvidence(), NewEvidence()
		x.Replace("d0", ends)
		for i := range ends {
			y.Replace(fmt.Sprint("d", i%3), append(y.ends[fmt.Sprint("d", i%3)], ends[n-1-i]))
		}
		require.Equal(t, x.Evaluate(testCase(12)), y.Evaluate(testCase(12)))
	})
}

// TestTriesOfAPartThatCrashesServersAreFew guards against letting requests with such a part through again and again.
func TestTriesOfAPartThatCrashesServersAreFew(t *testing.T) {
	const span, allowed = 2 * time.Minute, 3
	tries, since := 0, time.Duration(0)
	for now := time.Duration(0); now < span; now += time.Second {
		if TryDue("part", now-since, tries, true) {
			tries, since = tries+1, now
		}
	}
	require.Less(t, tries, allowed)
	require.Equal(t, maxHold, Hold("part", 100))
	require.False(t, TryDue("part", 2*firstHold, 0, false), "not together with another part")
	require.True(t, TryDue("part", failedHold, 0, false))
}

// TestLongPartNamesTakeBoundedMemory guards against callers who make up long names.
func TestLongPartNamesTakeBoundedMemory(t *testing.T) {
	long := fmt.Sprintf("%01000d", 7)
	require.LessOrEqual(t, len(PartKey(long)), maxPartBytes)
	require.NotEqual(t, PartKey(long), PartKey(long+"8"))
	require.Equal(t, "5c1e07a2", PartKey("5c1e07a2"))
}
