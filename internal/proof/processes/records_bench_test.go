package processes

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// BenchmarkRecords measures the sizes of the records that grow with versions and accounts.
func BenchmarkRecords(b *testing.B) {
	var versions, accounts, sizeByVersions, sizeByAccounts []float64
	for _, n := range []int{1, 4, 7, 14} {
		size := evidenceSize(b, n, 0)
		measured(fmt.Sprintf("records.evidence.versions=%d", n), size, "B", "-")
		versions, sizeByVersions = append(versions, float64(n)), append(sizeByVersions, size)
	}
	for _, n := range []int{10, 50, 100, 200} {
		size := evidenceSize(b, 0, n)
		measured(fmt.Sprintf("records.evidence.accounts=%d", n), size, "B", "-")
		accounts, sizeByAccounts = append(accounts, float64(n)), append(sizeByAccounts, size)
	}
	slope("records.evidence.versions", versions, sizeByVersions, "B")
	slope("records.evidence.accounts", accounts, sizeByAccounts, "B")
}

// evidenceSize is the size of a zone's sum after a day of traffic.
func evidenceSize(tb testing.TB, versions, accounts int) float64 {
	const day = 50_000_000
	rec := &peerpb.EvidenceRecord{Daemons: 39}
	for i := range versions {
		rec.Versions = append(rec.Versions, &peerpb.VersionEvidence{
			Template: "quotes", Version: fmt.Sprintf("quill-medium@%d", i+1), Trial: 1,
			Started: day, RatedGood: day / 20, RatedPoor: day / 200, Unrated: 300,
		})
	}
	for i := range accounts {
		rec.Demands = append(rec.Demands, &peerpb.AccountDemand{Account: fmt.Sprintf("account-%03d", i), Rate: 1.5})
	}
	body, err := proto.Marshal(rec)
	require.NoError(tb, err)
	return float64(len(body))
}
