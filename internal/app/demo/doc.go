// Package demo runs three daemons and stand-ins in one process and serves real
// requests over real sockets, then checks the promises against what the stand-ins saw.
package demo
