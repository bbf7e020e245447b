// Package kernel is the micro-kernel: it holds services by name, runs them and
// collects their state.
//
// A [Service] registers under a name; others find it with [Lookup] and a small
// interface of their own, so that no service imports another's package. The
// kernel runs all services under oklog/run and stops them in reverse order of
// registration: a service may rely on those registered before it until it ends.
package kernel
