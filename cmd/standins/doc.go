// Command standins runs the stand-ins for the platform and the backend servers in a
// process of their own, for tests. It reads a layout as JSON from standard input,
// prints the addresses as one line of JSON and runs until standard input is closed.
package main
