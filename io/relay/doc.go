// Package relay reads the records of the key-value service through a few VMs that watch it for the others.
package relay
