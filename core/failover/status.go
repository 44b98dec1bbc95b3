package failover

import (
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// Status is a backend server's response to group_status().
type Status struct {
	// Server identifies the server.
	Server ids.BackendServerID
	// Primary is set if the server acts as primary.
	Primary bool
	// Term is the term in which the server acts.
	Term ids.Term
	// Promised is the highest term for which the server has been fenced.
	Promised ids.Term
	// LogTerm is the term of the last record of the server's log, 0 for an empty log.
	LogTerm ids.Term
	// Written is the end of the log of a primary.
	Written ids.LogPosition
	// Received is the end of the log of a replica.
	Received ids.LogPosition
	// Replayed is the position up to which the log is visible to reads.
	Replayed ids.LogPosition
	// Leaving is set if the server is about to stop.
	Leaving bool
}

// End returns the end of the server's log.
func (status Status) End() position.Position {
	if status.Primary {
		return position.Position{Term: status.LogTerm, Log: status.Written}
	}
	return position.Position{Term: status.LogTerm, Log: status.Received}
}

// Visible returns the position up to which the log is visible to reads on the server.
func (status Status) Visible() position.Position {
	return position.Position{Term: status.LogTerm, Log: status.Replayed}
}

// AcceptsWrites reports whether the server accepts writes: it is a primary and has not been fenced for a later term.
func (status Status) AcceptsWrites() bool {
	return status.Primary && status.Promised <= status.Term
}
