package event

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "regenerate docs/EVENTS.md")

const page = "../../../docs/EVENTS.md"

func TestEventsHaveUniqueNumbersAndNamesAndARemedy(t *testing.T) {
	numbers, names := map[int]bool{}, map[string]bool{}
	for _, e := range Catalogue {
		require.False(t, numbers[e.Number], e.Number)
		require.False(t, names[e.Name], e.Name)
		numbers[e.Number], names[e.Name] = true, true
		require.NotEmpty(t, e.Remedy)
		require.NotEmpty(t, e.Text)
	}
}

func TestEventsPageMatchesCatalogue(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line carries the number of one of these events. This page is generated from\n`internal/core/event`; `go test ./internal/core/event -update` regenerates it.\n\n")
	b.WriteString("| number | name | level | what happened | remedy |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range Catalogue {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Text, e.Remedy)
	}
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(b.String()), 0o600))
	}
	got, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, b.String(), string(got))
}
