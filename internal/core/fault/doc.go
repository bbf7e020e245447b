// Package fault defines the typed errors of pollencourse.
//
// Every error that reaches a caller or an operator has a [Kind], says whether
// the request ran, and names a remedy. The checks of a settings file or template
// collect their errors in a [List], each with its position, and report them together.
package fault
