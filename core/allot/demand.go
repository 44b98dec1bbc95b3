package allot

// borrowedPart is the part of the connections that nobody uses which one VM may open beyond its own; several VMs may want
// them at the same time.
const borrowedPart = 3

// Demand returns the number of connections that a VM may hold to a server: its own part, and a part of what the others
// leave unused. Usable is the number for all VMs together, total the number that they hold now.
func Demand(part, usable, total int) int {
	return part + max(usable-total, 0)/borrowedPart
}
