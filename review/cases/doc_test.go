// Package cases holds the programs of the review's scripts: stand-ins of the platform's store, of backend servers and of
// callers, the start of the project's daemons as processes of their own, and the cases. They are built as one test
// binary, which plays the case that REVIEW_CASE names. They speak the protocols of the users' pages.
package cases
