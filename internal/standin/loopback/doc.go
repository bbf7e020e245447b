// Package loopback gives the daemons of tests addresses of their own.
package loopback
