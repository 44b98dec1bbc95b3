package control

import (
	"time"

	"github.com/go-kit/log"

	"dotterelgw/core/ids"
)

// Option changes a default of a controller.
type Option func(*Controller)

// WithLogger sets the logger; the default discards everything.
func WithLogger(logger log.Logger) Option {
	return func(controller *Controller) { controller.logger = logger }
}

// WithPeerFilter sets a function that reports whether heartbeats may be exchanged with a peer, in both directions.
// Experiments use it to partition a fleet without touching the network.
func WithPeerFilter(peerAllowed func(ids.VMID) bool) Option {
	return func(controller *Controller) { controller.peerAllowed = peerAllowed }
}

// clock counts the monotonic time since origin, multiplied by speed so that tests finish sooner.
type clock struct {
	origin time.Time
	speed  time.Duration
}

// now reads only the monotonic clock, at half the cost of time.Now. The data path calls it.
func (clock clock) now() time.Duration { return time.Since(clock.origin) * clock.speed }

// offset converts an instant to the controller's time.
func (clock clock) offset(instant time.Time) time.Duration {
	return instant.Sub(clock.origin) * clock.speed
}

// realTime converts a duration of the controller's time to real time.
func (clock clock) realTime(duration time.Duration) time.Duration { return duration / clock.speed }

// withSpeed makes the controller's time run faster than real time by the factor speed.
func withSpeed(speed int) Option {
	return func(controller *Controller) { controller.clock.speed = time.Duration(speed) }
}
