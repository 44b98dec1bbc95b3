package allot

// borrowDivisor divides the unused connections to get the number that one VM may open beyond its own share. A VM may not open
// all of them, since several VMs may want them at the same time.
const borrowDivisor = 3

// ConnectionLimit returns the number of connections that a VM may hold to a server: its own share plus a fraction of the
// connections that no VM uses. Usable is the limit for all VMs together, total the number that they hold now.
func ConnectionLimit(share, usable, total int) int {
	return share + max(usable-total, 0)/borrowDivisor
}
