// Package metrics collects counters and histograms and serves them in the Prometheus text format.
package metrics
