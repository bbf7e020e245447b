// Package operator serves operators over HTTP: templates, the status of the fleet, a
// Dump of each service's state, charges, unsettled intents and metrics.
package operator
