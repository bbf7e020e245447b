// Command standins starts stand-ins for the platform and the backend servers in
// a process of their own, for tests; it reads a layout as JSON on standard input,
// prints the addresses as one JSON line and runs until standard input closes.
package main
