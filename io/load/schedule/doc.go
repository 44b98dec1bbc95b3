// Package schedule computes the arrivals of an experiment before it runs, so that slow answers do not delay requests.
package schedule
