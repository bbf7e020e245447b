// Command pollencourse is the model-aware router: the daemon of an entry VM, the
// tools of its operators and a demo.
package main
