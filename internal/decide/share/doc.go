// Package share divides a client account's fleet-wide rate limit between daemons.
//
// Each daemon's share follows its share of the demand, with a floor for new demand.
// Daemons that are out of reach keep their share reserved, so that the two sides of a
// partition together never exceed the limit. The package is pure.
package share
