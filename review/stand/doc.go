// Package stand holds the stand-ins of the review's scripts: the platform's store, backend servers and callers, and the
// start of the project's daemons as processes of their own. It speaks the protocols of the users' pages.
package stand
