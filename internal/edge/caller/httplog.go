package caller

import (
	"io"
	stdlog "log"
)

// discardLogger drops the log lines of net/http, which have no event number.
func discardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
