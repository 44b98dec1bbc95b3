// Package promoter replaces primaries that were lost. One VM at a time has this duty, by a lease of the key-value service.
package promoter
