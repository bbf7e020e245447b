package processes

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaries holds the paths of the daemon and of the stand-ins program, built once by TestMain.
var binaries struct {
	daemon   string
	standins string
}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "pollencourse-proof-")
	if err != nil {
		panic(err)
	}
	binaries.daemon = filepath.Join(dir, "pollencourse")
	binaries.standins = filepath.Join(dir, "standins")
	if err := buildBinaries(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func buildBinaries(dir string) error {
	args := []string{"build", "-o", dir}
	if raceEnabled {
		args = append(args, "-race")
	}
	args = append(args, "github.com/pollencourse/pollencourse/cmd/pollencourse", "github.com/pollencourse/pollencourse/cmd/standins")
	out, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build: %w\n%s", err, out)
	}
	return nil
}
