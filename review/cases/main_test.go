package cases

import (
	"fmt"
	"os"
	"testing"
)

// caseVariable names the case to play.
const caseVariable = "REVIEW_CASE"

// TestMain plays a case instead of tests, of which there are none. The case engine is the model server that unframed
// starts.
func TestMain(*testing.M) {
	switch c := os.Getenv(caseVariable); c {
	case "sighup":
		Main(3, runSighup)
	case "unframed":
		Main(3, runUnframed)
	case "seeds":
		Main(pinnedDaemons, runSeeds)
	case "headcut":
		Main(6, runHeadCut)
	case "headcut-server":
		runHeadCutServer()
	case "engine":
		runEngine()
	default:
		fmt.Fprintf(os.Stderr, "there is no case %q; see review/REPORT.md\n", c)
		os.Exit(ExitNotRun)
	}
}
