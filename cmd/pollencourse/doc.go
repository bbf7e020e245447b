// Command pollencourse is a router for model requests and plain services: the daemon of
// an entry VM, the tools of its operators and a demo.
package main
