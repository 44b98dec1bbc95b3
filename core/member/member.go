package member

import (
	"cmp"
	"slices"

	"dotterelgw/core/ids"
)

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
	type scored struct {
		member Member
		score  uint64
	}
	ranked := make([]scored, len(members))
	for i, member := range members {
		ranked[i] = scored{member: member, score: score(key, member.ID)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
	})
	top := make([]Member, min(n, len(ranked)))
	for i := range top {
		top[i] = ranked[i].member
	}
	return top
}

// score is FNV-1a over key and identifier, with a final mix: FNV alone ranks similar identifiers alike for all keys.
func score(key string, id ids.VMID) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	sum := uint64(offset)
	for i := range len(key) {
		sum = (sum ^ uint64(key[i])) * prime
	}
	sum *= prime
	for i := range len(id) {
		sum = (sum ^ uint64(id[i])) * prime
	}
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}
