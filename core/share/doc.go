// Package share orders waiting requests of several organisations by weighted fair queueing.
package share
