// Package settings reads the INI file of a daemon and checks it whole.
//
// A daemon learns its addresses and availability zone here and nowhere else.
// Everything that operators change while the fleet runs stands in templates,
// not in settings.
package settings
