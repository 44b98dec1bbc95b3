// Package settings loads and validates the settings of one process.
package settings
