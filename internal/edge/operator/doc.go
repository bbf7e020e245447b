// Package operator serves operators over HTTP: templates, status, the dump of every
// service's state, charges, unsettled intents and metrics.
package operator
