package cases

import (
	"fmt"
	"os"
	"testing"
)

// caseVariable names the case to play.
const caseVariable = "REVIEW_CASE"

// TestMain plays a case instead of tests, of which there are none. The case headcut-server is the model server that
// headcut starts.
func TestMain(*testing.M) {
	switch c := os.Getenv(caseVariable); c {
	case "sighup":
		Main(3, runSighup)
	case "seeds":
		Main(seedsDaemons, runSeeds)
	case "bodies":
		Main(3, runBodies)
	case "headcut":
		Main(6, runHeadCut)
	case "headcut-server":
		runHeadCutServer()
	default:
		fmt.Fprintf(os.Stderr, "there is no case %q; see review/REPORT.md\n", c)
		os.Exit(ExitNotRun)
	}
}
