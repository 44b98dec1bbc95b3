// Package buildinfo identifies the build of the running program.
package buildinfo
