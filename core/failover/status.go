package failover

import (
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// Status is a backend server's answer to group_status().
type Status struct {
	// Server names the server.
	Server ids.BackendServerID
	// Primary states that the server's role is primary.
	Primary bool
	// Term is the term in which the server acts.
	Term ids.Term
	// Promised is the highest term that has fenced the server.
	Promised ids.Term
	// LogTerm is the term of the last record of the server's log, 0 for an empty log.
	LogTerm ids.Term
	// Written is the end of the log of a primary.
	Written ids.LogPosition
	// Received is the end of the log of a replica.
	Received ids.LogPosition
	// Replayed is the position up to which reads see the log.
	Replayed ids.LogPosition
	// Leaving states that the server is about to stop.
	Leaving bool
}

// End returns the end of the server's log.
func (status Status) End() position.Position {
	if status.Primary {
		return position.Position{Term: status.LogTerm, Log: status.Written}
	}
	return position.Position{Term: status.LogTerm, Log: status.Received}
}

// Visible returns the position up to which reads on the server see the log.
func (status Status) Visible() position.Position {
	return position.Position{Term: status.LogTerm, Log: status.Replayed}
}

// Accepts states whether the server is a primary that has promised no later term.
func (status Status) Accepts() bool {
	return status.Primary && status.Promised <= status.Term
}
