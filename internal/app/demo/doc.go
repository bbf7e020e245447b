// Package demo runs three daemons and stand-ins of the outside systems in one process
// and sends requests to the daemons over loopback connections. Then it checks, against
// what the stand-ins recorded, that the promises to callers were kept.
package demo
