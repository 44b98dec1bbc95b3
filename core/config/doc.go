// Package config keeps versioned configuration entries: it applies only newer versions and computes deltas.
package config
