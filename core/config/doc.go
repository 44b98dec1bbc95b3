// Package config holds versioned configuration entries: it applies them, refuses older ones and computes deltas.
package config
