package engine

import (
	"context"
	"net"
)

// DialContext opens a network connection.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// DefaultDial returns a dialer for TCP connections with a timeout.
func DefaultDial() DialContext {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext
}
