// Package signals receives the signals that a daemon handles, from its start until its process has exited.
package signals
