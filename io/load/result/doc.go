// Package result summarises a run by the measures of design section 1.2 and compares the results of two runs.
package result
