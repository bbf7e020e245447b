package fault_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/tools/txtar"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/settings"
)

var update = flag.Bool("update", false, "regenerate the expected output")

// TestReportedFaultsOfFiles guards against settings and templates whose faults are missed, or are reported with
// another text or position.
//
// Each testdata file holds "in.ini" and the expected "out"; -update regenerates the latter.
func TestReportedFaultsOfFiles(t *testing.T) {
	for kind, parse := range map[string]func(string, []byte) error{
		"settings": func(n string, b []byte) error { _, err := settings.Parse(n, b); return err },
		"template": func(n string, b []byte) error { _, err := template.Parse(n, 0, b); return err },
	} {
		files, err := filepath.Glob(filepath.Join("testdata", kind, "*.txtar"))
		require.NoError(t, err)
		require.NotEmpty(t, files)
		for _, path := range files {
			t.Run(filepath.Base(path), func(t *testing.T) { checkGolden(t, path, parse) })
		}
	}
}

func checkGolden(t *testing.T, path string, parse func(string, []byte) error) {
	a, err := txtar.ParseFile(path)
	require.NoError(t, err)
	got := "valid\n"
	if err := parse("in.ini", a.Files[0].Data); err != nil {
		got = err.Error() + "\n"
	}
	if *update {
		a.Files = []txtar.File{a.Files[0], {Name: "out", Data: []byte(got)}}
		require.NoError(t, os.WriteFile(path, txtar.Format(a), 0o600))
		return
	}
	require.Len(t, a.Files, 2)
	require.Equal(t, string(a.Files[1].Data), got)
}
