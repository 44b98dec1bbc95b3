package quota

import (
	"slices"
	"time"

	"dotterelgw/core/ids"
)

const (
	// firstSilence is how long a VM isn't asked for loans after it left a request unanswered; it doubles while it answers none.
	firstSilence = 200 * time.Millisecond
	// maxSilence bounds that time. A partition that heals is noticed within it.
	maxSilence = 800 * time.Millisecond
)

// silentVMs holds the VMs that left requests unanswered: they are lost, cut off, or send no more loans.
type silentVMs map[ids.VMID]silence

// silence is the state of one VM.
type silence struct {
	// until is when the VM is asked again, and pause the time for which it is not.
	until, pause time.Duration
}

// unanswered records that a VM has not answered the request that was sent at the time. Requests from before a silence began count once.
func (silent silentVMs) unanswered(now time.Duration, vm ids.VMID, sent time.Duration) {
	last := silent[vm]
	if sent < last.until {
		return
	}
	last.pause = min(max(2*last.pause, firstSilence), maxSilence)
	last.until = now + last.pause
	silent[vm] = last
}

// answered records that a VM answers.
func (silent silentVMs) answered(vm ids.VMID) { delete(silent, vm) }

// without returns the VMs that are not silent.
func (silent silentVMs) without(now time.Duration, vms []ids.VMID) []ids.VMID {
	if len(silent) == 0 {
		return vms
	}
	return slices.DeleteFunc(slices.Clone(vms), func(vm ids.VMID) bool { return now < silent[vm].until })
}
