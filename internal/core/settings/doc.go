// Package settings reads the INI file of a daemon and reports all its faults.
//
// Settings are the only source of a daemon's addresses and availability zone.
// Whatever operators change while the fleet runs belongs in templates instead.
package settings
