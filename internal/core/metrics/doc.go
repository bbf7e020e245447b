// Package metrics collects counters and histograms and serves them as text.
package metrics
