// Package bench holds the benchmarks of cost per unit that docs/CAPACITY.md multiplies by the planned size.
package bench
