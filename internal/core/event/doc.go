// Package event defines the numbered log events of pollencourse.
//
// Every log line carries the number of an [Event] in the catalogue. A number is
// never reused for another event. docs/EVENTS.md lists all events with their
// remedies; this package's test generates it from the catalogue with -update.
package event
