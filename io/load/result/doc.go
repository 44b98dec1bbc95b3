// Package result sums a run up in the measures of design section 1.2 and compares two runs.
package result
