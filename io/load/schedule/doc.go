// Package schedule computes the arrival times of all requests before an experiment runs. The load is open-loop: slow
// responses do not delay later requests.
package schedule
