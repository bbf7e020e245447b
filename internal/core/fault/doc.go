// Package fault defines the typed errors of pollencourse.
//
// Every error that reaches a caller or an operator has a [Kind], says whether
// the request ran, and names a remedy. Errors are values: a validation collects
// all of them in a [List], each with its position, and prints them together.
package fault
