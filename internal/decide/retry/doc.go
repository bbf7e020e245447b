// Package retry bounds how many more tries than requests are sent.
//
// Each request earns a part of a retry and each retry or hedge spends a whole one,
// so that tries never multiply when everything fails. The package is pure.
package retry
