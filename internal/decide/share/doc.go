// Package share divides a client account's fleet-wide limit between daemons.
//
// Each daemon's part follows its part of the demand, with a floor for new demand.
// Known daemons that are out of reach keep their part reserved, so that two sides
// of a partition together never pass the limit. The package is pure.
package share
