package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

var recordGenerator = rapid.Custom(func(t *rapid.T) Record {
	return Record{
		Key:     rapid.SampledFrom([]string{"a", "b", "c", "vm/1", "vm/2", "template/x"}).Draw(t, "key"),
		Version: rapid.Int64Range(1, 6).Draw(t, "version"),
	}
})

// withBody derives the body from key and version, since a single writer never publishes two bodies under one version.
func withBody(r Record) Record {
	r.Body = []byte(r.Key + string(rune('0'+r.Version)))
	return r
}

// Gossip delivers records in any order. If the result depended on the order, daemons would keep different tables.
func TestTablesConvergeWhateverTheOrderOfRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(recordGenerator).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "order")
		x, y := NewTable("x"), NewTable("y")
		for i := range records {
			x.Apply(withBody(records[i]))
			y.Apply(withBody(shuffled[i]))
		}
		require.Equal(t, x.Root(), y.Root())
		require.Equal(t, x.Prefix(""), y.Prefix(""))
	})
}

// A record that is delivered late must not replace a newer one.
func TestTableKeepsHighestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewTable("x")
		highest := map[string]int64{}
		for _, r := range rapid.SliceOf(recordGenerator).Draw(t, "records") {
			x.Apply(withBody(r))
			highest[r.Key] = max(highest[r.Key], r.Version)
			got, ok := x.Get(r.Key)
			require.True(t, ok)
			require.Equal(t, highest[r.Key], got.Version)
		}
	})
}

// A sync has to find every record that either side lacks, or digests would differ and syncs repeat for good.
func TestOneSyncMakesTwoTablesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, y := NewTable("x"), NewTable("y")
		for _, r := range rapid.SliceOf(recordGenerator).Draw(t, "here") {
			x.Apply(withBody(r))
		}
		for _, r := range rapid.SliceOf(recordGenerator).Draw(t, "there") {
			y.Apply(withBody(r))
		}
		pull, push := x.planSync(y.diffBuckets(x.Buckets()))
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

// A malformed message from a peer must not panic a handler.
func FuzzMessageHandlers(f *testing.F) {
	good, err := proto.Marshal(&peerpb.Push{Table: FleetTable, Records: []*peerpb.Record{{Key: "a", Version: 1}}})
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte{0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		g := New(&unreachableCaller{}, 1)
		_, _ = g.handlePush(t.Context(), g.calls.Self(), data)
		_, _ = g.handleSync(t.Context(), g.calls.Self(), data)
		_, _ = g.handlePull(t.Context(), g.calls.Self(), data)
	})
}

// Frequently changing records in the digests would make neighbours sync in almost every heartbeat.
func TestFrequentRecordsDoNotChangeDigests(t *testing.T) {
	x, y := NewTable("x"), NewTable("y")
	for _, table := range []*Table{x, y} {
		table.excludeFromDigest("sum/")
		table.Apply(withBody(Record{Key: "a", Version: 1}))
	}
	x.Apply(Record{Key: "sum/1", Version: 1}, Record{Key: "sum/1", Version: 2})
	require.Equal(t, x.Root(), y.Root())
	x.Remove("sum/1")
	require.Equal(t, x.Root(), y.Root())
}
