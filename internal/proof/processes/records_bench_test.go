package processes

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// BenchmarkRecords measures the encoded size of an evidence record by its number of versions and of accounts.
func BenchmarkRecords(b *testing.B) {
	var versions, accounts, sizeByVersions, sizeByAccounts []float64
	for _, n := range []int{1, 4, 7, 14} {
		size := encodedEvidenceBytes(b, n, 0)
		measured(fmt.Sprintf("records.evidence.versions=%d", n), size, "B", "-")
		versions, sizeByVersions = append(versions, float64(n)), append(sizeByVersions, size)
	}
	for _, n := range []int{10, 50, 100, 200} {
		size := encodedEvidenceBytes(b, 0, n)
		measured(fmt.Sprintf("records.evidence.accounts=%d", n), size, "B", "-")
		accounts, sizeByAccounts = append(accounts, float64(n)), append(sizeByAccounts, size)
	}
	measureSlope("records.evidence.versions", versions, sizeByVersions, "B")
	measureSlope("records.evidence.accounts", accounts, sizeByAccounts, "B")
}

// encodedEvidenceBytes returns the size of the evidence summed over an availability zone after a day of traffic.
func encodedEvidenceBytes(tb testing.TB, versions, accounts int) float64 {
	const requestsPerDay = 50_000_000
	rec := &peerpb.EvidenceRecord{Daemons: 39}
	for i := range versions {
		rec.Versions = append(rec.Versions, &peerpb.VersionEvidence{
			Template: "quotes", Version: fmt.Sprintf("quill-medium@%d", i+1), Trial: 1,
			Started: requestsPerDay, RatedGood: requestsPerDay / 20, RatedPoor: requestsPerDay / 200, Unrated: 300,
		})
	}
	for i := range accounts {
		rec.Demands = append(rec.Demands, &peerpb.AccountDemand{Account: fmt.Sprintf("account-%03d", i), Rate: 1.5})
	}
	body, err := proto.Marshal(rec)
	require.NoError(tb, err)
	return float64(len(body))
}
