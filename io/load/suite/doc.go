// Package suite measures the users' measures and the targets of design section 1.3 on fleets of real processes, and
// reports each as one row with its target.
package suite
