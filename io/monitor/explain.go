package monitor

import (
	"cmp"
	"slices"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
)

// Obstacle is why a server can't run a statement now; empty if it can.
type Obstacle string

// The obstacles.
const (
	// Tried means that the statement was tried there.
	Tried Obstacle = "tried"
	// ServerLeaving means that the server gets no new work.
	ServerLeaving Obstacle = "leaving"
	// Unreachable means that the server doesn't answer.
	Unreachable Obstacle = "unreachable"
	// ZoneClosed means that the availability zone of the server is evacuated.
	ZoneClosed Obstacle = "zone_closed"
	// Unconfirmed means that the server isn't confirmed as the primary.
	Unconfirmed Obstacle = "primary_not_confirmed"
	// Behind means that the server lacks writes that the read must see.
	Behind Obstacle = "behind"
	// NotPrimary means that only the primary can run the statement.
	NotPrimary Obstacle = "not_primary"
)

// obstacle returns why the server accepts no reads.
func (server *Server) obstacle() Obstacle {
	switch {
	case server.Info().Leaving:
		return ServerLeaving
	case !server.Reachable():
		return Unreachable
	case server.Closed():
		return ZoneClosed
	}
	return ""
}

// obstacle returns why the read is not sent to the server, whatever its log has reached.
func (request ReadRequest) obstacle(server *Server, isLeader bool) Obstacle {
	if request.Excluded[server.ID()] {
		return Tried
	}
	if obstacle := server.obstacle(); obstacle != "" {
		return obstacle
	}
	if isLeader && !request.Primary {
		return Unconfirmed
	}
	return ""
}

// Candidate describes a server for the explanation of a decision.
type Candidate struct {
	// Server identifies the server.
	Server ids.BackendServerID `json:"server"`
	// Zone is its availability zone.
	Zone ids.AvailabilityZone `json:"availability_zone"`
	// Primary reports whether it is the primary.
	Primary bool `json:"primary"`
	// ExpectedMS is the expected response time in milliseconds.
	ExpectedMS float64 `json:"expected_ms"`
	// Obstacle is why the server can't run the statement now.
	Obstacle Obstacle `json:"obstacle,omitempty"`
}

// ReadCandidates describes all servers of the group for a read, in the order of their identifiers; none for a position of another group.
func (group *Group) ReadCandidates(request ReadRequest) []Candidate {
	required, err := request.Position.Of(group.id)
	if err != nil {
		return nil
	}
	leader, _, _ := group.Primary()
	now := clock.Now()
	return group.describe(request.Organisation, func(server *Server) Obstacle {
		if obstacle := request.obstacle(server, server == leader); obstacle != "" {
			return obstacle
		}
		candidate := server.candidate(request.Organisation, server == leader, now)
		if !candidate.Reaches(required, request.Age) {
			return Behind
		}
		return ""
	})
}

// PrimaryCandidates describes all servers of the group for a statement that only the primary can run.
func (group *Group) PrimaryCandidates(organisation ids.OrganisationID) []Candidate {
	leader, _, _ := group.Primary()
	return group.describe(organisation, func(server *Server) Obstacle {
		switch {
		case server != leader:
			return NotPrimary
		case server.Closed():
			return ZoneClosed
		case !server.Usable():
			return Unreachable
		}
		return ""
	})
}

// describe describes the servers of the group, with the obstacle of each.
func (group *Group) describe(organisation ids.OrganisationID, obstacle func(*Server) Obstacle) []Candidate {
	leader, _, _ := group.Primary()
	now := clock.Now()
	var candidates []Candidate
	for _, server := range group.Servers() {
		estimate := server.candidate(organisation, server == leader, now)
		candidates = append(candidates, Candidate{
			Server: server.ID(), Zone: server.Info().Zone, Primary: server == leader,
			ExpectedMS: float64(estimate.Cost()) / float64(time.Millisecond), Obstacle: obstacle(server),
		})
	}
	slices.SortFunc(candidates, func(one, other Candidate) int { return cmp.Compare(one.Server, other.Server) })
	return candidates
}

// Through returns the VM to which statements for the server are handed over now; empty if this VM sends them itself.
func (server *Server) Through() ids.VMID {
	monitor := server.group.monitor
	home, ok := monitor.chooseHome(server.rankedHomes(), server.ID())
	if !ok || home == monitor.sharing.Self {
		return ""
	}
	return home
}

// ZoneShares returns the parts of the group's reads that leave the availability zone of this VM, for logs.
func (group *Group) ZoneShares() string {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.zones == nil {
		return ""
	}
	return group.zones.String()
}
