package engine

import (
	"context"
	"net"
)

// DialContext opens a network connection.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// DefaultDial opens TCP connections with a bound on the time it takes.
func DefaultDial() DialContext {
	return (&net.Dialer{Timeout: dialTime}).DialContext
}
