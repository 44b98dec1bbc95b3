// Package promoter replaces lost primaries. One VM at a time is responsible for this: it holds the promotion duty, a
// lease in the key-value service.
package promoter
