// Package vmlist reads the platform's list of live and leaving VMs.
//
// The list is eventually consistent. Its revision grows with each change; the platform
// responds with status 304 if nothing changed since the revision that the client names.
package vmlist
