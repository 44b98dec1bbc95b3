// Package suite runs the measured comparison: it starts fleets of real processes, measures them against the targets of
// design section 1.3 and reports each figure as one row with its target.
package suite
