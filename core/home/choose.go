package home

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
)

const (
	// Count is the number of homes of a server: the first one holds its connections, the second one takes over if the first can't be
	// reached.
	Count = 2
	// minConnectionsPerVM is the number of connections for each VM below which a server gets homes: with fewer, VMs can't keep one each.
	minConnectionsPerVM = 1
	// shareExponent makes the weight of a VM grow faster than its processor share, so that small VMs are home only where there are no
	// larger ones.
	shareExponent = 3
	// TakeoverIdleTimeout is how long the second home keeps an idle connection. It keeps few while the first one serves.
	TakeoverIdleTimeout = time.Second
	// defaultShare is the processor share of a VM that tells none.
	defaultShare = 1.0
	// directFraction is the fraction of the usable connections that the homes leave to VMs that reach neither of them.
	directFraction = 0.125
)

// Needed reports whether a server gets homes, given the connections that all VMs together may use.
func Needed(usable, vms int) bool { return usable < minConnectionsPerVM*vms }

// Limit returns the number of connections that a home may hold of those that all VMs together may use.
func Limit(usable int) int { return max(1, usable-int(directFraction*float64(usable))) }

// scored is a VM with its score in the weighted rendezvous order.
type scored struct {
	id    ids.VMID
	score float64
}

// Choose returns the homes of the server, the preferred one first: the VMs of its availability zone with the highest weighted
// rendezvous hash, or of all zones if there is none. The result depends only on the arguments, so VMs with equal views agree.
func Choose(server catalog.Server, vms []member.Member) []ids.VMID {
	hash := member.Hasher("home/" + string(server.ID))
	best := top(vms, hash, func(vm *member.Member) bool { return vm.Zone == server.Zone })
	if len(best) == 0 {
		best = top(vms, hash, func(*member.Member) bool { return true })
	}
	homes := make([]ids.VMID, len(best))
	for place, vm := range best {
		homes[place] = vm.id
	}
	return homes
}

// top returns the VMs with the highest scores among those that can be home and are eligible, highest first.
func top(vms []member.Member, hash func(ids.VMID) uint64, eligible func(vm *member.Member) bool) []scored {
	best := make([]scored, 0, Count+1)
	for index := range vms {
		vm := &vms[index]
		if !vm.ServesAsHome || vm.Leaving || !eligible(vm) {
			continue
		}
		candidate := scored{id: vm.ID, score: score(hash(vm.ID), vm.ProcessorShare)}
		place, _ := slices.BinarySearchFunc(best, candidate, scored.compare)
		if place < Count {
			best = slices.Insert(best, place, candidate)
			best = best[:min(len(best), Count)]
		}
	}
	return best
}

// compare orders by descending score, then by ascending identifier.
func (scored scored) compare(other scored) int {
	return cmp.Or(cmp.Compare(other.score, scored.score), cmp.Compare(scored.id, other.id))
}

// score returns the weighted rendezvous score of a VM: the chance to have the highest one is proportional to the weight.
func score(hash uint64, share float64) float64 {
	if share == 0 {
		share = defaultShare
	}
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return math.Pow(share, shareExponent) / -math.Log(uniform)
}
