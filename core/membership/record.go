package membership

import (
	"slices"

	"dotterelgw/core/ids"
)

// MaxUnheard is the number of members whose logs may be unknown when a server is promoted. An acknowledged write is in the logs of two
// members at least, the primary and a replica, so the logs of all members but one include it.
const MaxUnheard = 1

// maxMembers bounds the record of a group. Members are replaced one at a time, so a record of more would hold servers that are long gone.
const maxMembers = 32

// Member identifies one process of a server.
type Member struct {
	// ID identifies the server.
	ID ids.BackendServerID
	// StartedMS is the start time of the process in Unix milliseconds.
	StartedMS int64
	// Address is the host and port of the server.
	Address string
}

// holdsLogOf reports whether the server has the log of the other one: it is the same process, or it started later at the same address
// under another identifier. A server that starts again under its identifier starts with an empty log.
func (member Member) holdsLogOf(other Member) bool {
	if member.ID == other.ID {
		return member.StartedMS == other.StartedMS
	}
	return member.Address == other.Address && member.StartedMS > other.StartedMS
}

// Record holds the members of a group: all servers whose logs may be needed to find every acknowledged write.
type Record struct {
	// Members holds the members in the order in which they joined.
	Members []Member
	// Incomplete is set if the group may have members that are not in Members, because no record of them could be read.
	Incomplete bool
}

// Equal reports whether both records hold the same members in the same order.
func (record Record) Equal(other Record) bool { return slices.Equal(record.Members, other.Members) }

// Contains reports whether the server is a member.
func (record Record) Contains(server Member) bool { return slices.Contains(record.Members, server) }

// Union returns a record of the members of both.
func (record Record) Union(other Record) Record {
	return record.with(other.Members...)
}

// Unheard returns the members whose logs none of the servers that answered has. An incomplete record has more unheard members than a
// promotion may do without; those that are not known have no identifier.
func (record Record) Unheard(answered []Member) []Member {
	var unheard []Member
	if record.Incomplete {
		unheard = make([]Member, MaxUnheard+1)
	}
	for _, member := range record.Members {
		holds := func(server Member) bool { return server.holdsLogOf(member) }
		if !slices.ContainsFunc(answered, holds) {
			unheard = append(unheard, member)
		}
	}
	return unheard
}

// with returns the record with further members. Beyond maxMembers the oldest ones are dropped.
func (record Record) with(servers ...Member) Record {
	members := slices.Clone(record.Members)
	for _, server := range servers {
		if !slices.Contains(members, server) {
			members = append(members, server)
		}
	}
	return Record{Members: members[max(len(members)-maxMembers, 0):], Incomplete: record.Incomplete}
}

// without returns the record without the members for which the function returns true.
func (record Record) without(gone func(Member) bool) Record {
	return Record{Members: slices.DeleteFunc(slices.Clone(record.Members), gone), Incomplete: record.Incomplete}
}
