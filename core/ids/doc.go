// Package ids defines the identifier and counter types that all packages share.
package ids
