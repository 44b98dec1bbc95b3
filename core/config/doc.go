// Package config defines the versioned configuration entries and the store that applies them, rejects older ones and
// computes deltas.
package config
