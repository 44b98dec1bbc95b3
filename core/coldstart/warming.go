package coldstart

import "time"

// Warming tells until when a server is cold, from what its registrations say. The zero value is warm.
type Warming struct {
	left  time.Duration
	until time.Duration
}

// Update applies the remaining cold time of a registration that was read at the time. The registration may have been written earlier, so
// the server is warm at the end of that time or before; the same registration, read again, changes nothing.
func (warming *Warming) Update(now, left time.Duration) {
	if left == warming.left {
		return
	}
	warming.left, warming.until = left, now+left
}

// IsCold reports whether the server may be cold at the time.
func (warming *Warming) IsCold(now time.Duration) bool { return now < warming.until }
