package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

var recordGen = rapid.Custom(func(t *rapid.T) Record {
	return Record{
		Key:     rapid.SampledFrom([]string{"a", "b", "c", "vm/1", "vm/2", "template/x"}).Draw(t, "key"),
		Version: rapid.Int64Range(1, 6).Draw(t, "version"),
	}
})

// body makes the body a function of key and version, as a single writer would.
func body(r Record) Record {
	r.Body = []byte(r.Key + string(rune('0'+r.Version)))
	return r
}

func TestTablesThatGetTheSameRecordsInAnyOrderAreAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(recordGen).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "order")
		x, y := NewTable("x"), NewTable("y")
		for i := range records {
			x.Apply(body(records[i]))
			y.Apply(body(shuffled[i]))
		}
		require.Equal(t, x.Root(), y.Root())
		require.Equal(t, x.Prefix(""), y.Prefix(""))
	})
}

func TestATableOnlyMovesForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewTable("x")
		highest := map[string]int64{}
		for _, r := range rapid.SliceOf(recordGen).Draw(t, "records") {
			x.Apply(body(r))
			highest[r.Key] = max(highest[r.Key], r.Version)
			got, ok := x.Get(r.Key)
			require.True(t, ok)
			require.Equal(t, highest[r.Key], got.Version)
		}
	})
}

func TestOneExchangeMakesTwoTablesAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, y := NewTable("x"), NewTable("y")
		for _, r := range rapid.SliceOf(recordGen).Draw(t, "here") {
			x.Apply(body(r))
		}
		for _, r := range rapid.SliceOf(recordGen).Draw(t, "there") {
			y.Apply(body(r))
		}
		pull, push := x.split(y.compare(x.Buckets()))
		y.Apply(push...)
		for _, k := range pull {
			r, ok := y.Get(k)
			require.True(t, ok)
			x.Apply(r)
		}
		require.Equal(t, x.Root(), y.Root())
		require.Equal(t, x.Prefix(""), y.Prefix(""))
	})
}

func FuzzMessages(f *testing.F) {
	good, err := proto.Marshal(&peerpb.Push{Table: FleetTable, Records: []*peerpb.Record{{Key: "a", Version: 1}}})
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte{0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		g := New(&silentCaller{}, 1)
		_, _ = g.handlePush(t.Context(), g.calls.Self(), data)
		_, _ = g.handleSync(t.Context(), g.calls.Self(), data)
		_, _ = g.handlePull(t.Context(), g.calls.Self(), data)
	})
}

func TestFrequentRecordsAreLeftOutOfTheDigests(t *testing.T) {
	x, y := NewTable("x"), NewTable("y")
	for _, table := range []*Table{x, y} {
		table.leaveOut("sum/")
		table.Apply(body(Record{Key: "a", Version: 1}))
	}
	x.Apply(Record{Key: "sum/1", Version: 1}, Record{Key: "sum/1", Version: 2})
	require.Equal(t, x.Root(), y.Root())
	x.Remove("sum/1")
	require.Equal(t, x.Root(), y.Root())
}
