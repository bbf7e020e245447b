// Package kernel is the micro-kernel of a daemon: it registers services by name,
// runs them and collects their state.
//
// A [Service] is registered under a name; others find it with [Lookup] and a
// small interface of their own, so that no service imports another's package.
// The kernel runs all services under oklog/run and stops them in reverse order
// of registration, so that a service can use those registered before it until
// it has stopped.
package kernel
