// Package event defines the numbered log events of pollencourse.
//
// Every log line carries the number of an [Event] in the catalogue. A number
// keeps its meaning for ever; docs/EVENTS.md lists each with its remedy and is
// generated from the catalogue by this package's test with -update.
package event
