// Package fairqueue implements weighted fair queueing for the waiting requests of several organisations.
package fairqueue
