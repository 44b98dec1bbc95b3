package member

import "dotterelgw/core/ids"

// Member is one VM that runs a proxy.
type Member struct {
	// ID names the VM.
	ID ids.VMID
	// Address is the VM's address for peers, as numeric host and port.
	Address string
	// Zone is the VM's availability zone.
	Zone ids.AvailabilityZone
	// Leaving is set if the VM list or the VM itself reports that it is leaving the fleet.
	Leaving bool
	// ProcessorShare is the number of processor cores that the VM may use; 0 if it tells none.
	ProcessorShare float64
	// ServesAsHome is set if the VM can hold connections to backend servers for other VMs.
	ServesAsHome bool
}

// Top returns the n members with the highest rendezvous hash for the key, highest first. The result depends only on the
// key and the members' identifiers, so VMs with equal membership views select the same members.
func Top(key string, n int, members []Member) []Member {
	n = min(n, len(members))
	if n <= 0 {
		return []Member{}
	}
	seed := hashKey(key)
	// Keeps only the n highest sorted: sorting 2,400 members for each of 7,000 groups would take seconds.
	best := make([]scoredMember, 0, n)
	for index := range members {
		candidate := scoredMember{index: index, score: score(seed, members[index].ID)}
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
	for i, member := range best {
		top[i] = members[member.index]
	}
	return top
}

// Rank returns the number of members that precede the VM in the rendezvous order of the key, and whether the VM is a member.
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

// Hasher returns the function that returns the rendezvous hash of a VM for the key.
func Hasher(key string) func(id ids.VMID) uint64 {
	seed := hashKey(key)
	return func(id ids.VMID) uint64 { return score(seed, id) }
}

// scoredMember is the index of a member in a list and its score for a key.
type scoredMember struct {
	index int
	score uint64
}

// before reports whether the member precedes the other: by descending score, then by ascending identifier.
func (scoredMember scoredMember) before(other scoredMember, members []Member) bool {
	if scoredMember.score != other.score {
		return scoredMember.score > other.score
	}
	return members[scoredMember.index].ID < members[other.index].ID
}

const fnvPrime = 1099511628211

// hashKey hashes the key; all members' scores for the key start from the result.
func hashKey(key string) uint64 {
	sum := uint64(14695981039346656037)
	for i := range len(key) {
		sum = (sum ^ uint64(key[i])) * fnvPrime
	}
	return sum * fnvPrime
}

// score is FNV-1a over key and identifier, followed by a bit mixer. FNV-1a alone ranks similar identifiers in a similar
// order for every key.
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
