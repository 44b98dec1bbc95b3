package session

import (
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// observed is what a session has observed of the log of one group.
type observed struct {
	// at is the last position, also while known is not set: what the session has seen until then was up to it.
	at position.Position
	// known reports whether at includes all that the session must see.
	known bool
}

// changeGroup keeps what the session has observed of the group that its route leaves, and takes up what it, or its token, has of the next one.
func (session *Session) changeGroup(next ids.GroupID) {
	if session.route.Group != "" {
		if session.elsewhere == nil {
			session.elsewhere = make(map[ids.GroupID]observed)
		}
		session.elsewhere[session.route.Group] = session.observed
	}
	kept, visited := session.elsewhere[next]
	if !visited {
		kept = session.observedByToken(next)
	}
	// What others have written there since is not known.
	kept.known = kept.known && !visited
	session.observed = kept
}

// observe records that the session must see all that is in the log of the group up to the position.
func (session *Session) observe(group ids.GroupID, at position.Position) {
	if group == session.route.Group {
		session.observed = observed{at: at, known: true}
		return
	}
	if session.elsewhere == nil {
		session.elsewhere = make(map[ids.GroupID]observed)
	}
	session.elsewhere[group] = observed{at: at, known: true}
}

// observedIn returns the position up to which the session has observed the log of the group.
func (session *Session) observedIn(group ids.GroupID) position.Position {
	if group == session.route.Group {
		return session.observed.at
	}
	return session.elsewhere[group].at
}

// observedByToken returns what the caller's token tells of the group.
func (session *Session) observedByToken(group ids.GroupID) observed {
	for _, groupPosition := range session.tokenPositions {
		if held, at := groupPosition.Parts(); held == group {
			return observed{at: at, known: true}
		}
	}
	return observed{}
}
