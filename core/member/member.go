package member

import "dotterelgw/core/ids"

// Member is one VM that runs a proxy.
type Member struct {
	// ID names the VM.
	ID ids.VMID
	// Address is the VM's peer address, numeric host and port.
	Address string
	// Zone is the VM's availability zone.
	Zone ids.AvailabilityZone
	// Leaving states that the VM list or the VM itself says that it is leaving.
	Leaving bool
}

// Top returns the first n members by rendezvous hash of the key, best first. The result depends only on the key and
// the members' identifiers, so that every VM with the same membership view chooses the same ones.
func Top(key string, n int, members []Member) []Member {
	n = min(n, len(members))
	if n <= 0 {
		return []Member{}
	}
	seed := hashKey(key)
	// Only the best are kept in order: sorting 2,400 members for each of 7,000 groups would take seconds.
	best := make([]scored, 0, n)
	for index := range members {
		candidate := scored{index: index, score: score(seed, members[index].ID)}
		if len(best) == n && !candidate.before(best[n-1], members) {
			continue
		}
		if len(best) < n {
			best = append(best, candidate)
		}
		at := len(best) - 1
		for ; at > 0 && candidate.before(best[at-1], members); at-- {
			best[at] = best[at-1]
		}
		best[at] = candidate
	}
	top := make([]Member, n)
	for i, one := range best {
		top[i] = members[one.index]
	}
	return top
}

// Rank returns how many members come before the VM in the rendezvous order of the key, and whether it is a member.
func Rank(key string, id ids.VMID, members []Member) (int, bool) {
	seed := hashKey(key)
	own := score(seed, id)
	rank, found := 0, false
	for index := range members {
		other := members[index].ID
		if other == id {
			found = true
			continue
		}
		if sum := score(seed, other); sum > own || sum == own && other < id {
			rank++
		}
	}
	return rank, found
}

// scored is a member's index and its score for a key.
type scored struct {
	index int
	score uint64
}

// before orders by falling score, and by identifier between equal scores.
func (one scored) before(other scored, members []Member) bool {
	if one.score != other.score {
		return one.score > other.score
	}
	return members[one.index].ID < members[other.index].ID
}

const fnvPrime = 1099511628211

// hashKey is the part of a score that all members share.
func hashKey(key string) uint64 {
	sum := uint64(14695981039346656037)
	for i := range len(key) {
		sum = (sum ^ uint64(key[i])) * fnvPrime
	}
	return sum * fnvPrime
}

// score is FNV-1a over key and identifier, with a final mix: FNV alone ranks similar identifiers alike for all keys.
func score(seed uint64, id ids.VMID) uint64 {
	sum := seed
	for i := range len(id) {
		sum = (sum ^ uint64(id[i])) * fnvPrime
	}
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}
