// Package bench holds the benchmarks whose slopes docs/CAPACITY.md multiplies with the planned size.
package bench
