//go:build race

package processes

const raceEnabled = true
