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

// WithReach sets a function that says whether a peer may be reached, in both directions. Experiments use it to
// partition a fleet without touching the network.
func WithReach(reach func(ids.VMID) bool) Option {
	return func(controller *Controller) { controller.reach = reach }
}

// clock is the monotonic time since the controller was created, multiplied by speed so that tests finish sooner.
type clock struct {
	origin time.Time
	speed  time.Duration
}

// now reads only the monotonic clock, which halves the cost of time.Now on the data path.
func (clock clock) now() time.Duration { return time.Since(clock.origin) * clock.speed }

func (clock clock) at(instant time.Time) time.Duration {
	return instant.Sub(clock.origin) * clock.speed
}

// real returns the time that passes outside while the duration passes on the clock.
func (clock clock) real(duration time.Duration) time.Duration { return duration / clock.speed }

// withSpeed makes the controller's time pass faster.
func withSpeed(speed int) Option {
	return func(controller *Controller) { controller.clock.speed = time.Duration(speed) }
}
