package caller

import (
	"io"
	stdlog "log"
)

// silent drops the HTTP library's own log lines, which have no event number.
func silent() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
