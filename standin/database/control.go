package database

import (
	"database/sql/driver"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"

	"github.com/jackc/pgx/v5/pgtype"

	"dotterelgw/core/ids"
)

const (
	statusQuery   = "SELECT * FROM group_status()"
	positionQuery = "SELECT * FROM group_position()"
)

var controlPattern = regexp.MustCompile(
	`^SELECT \* FROM group_(fence|promote|follow)\('(\d+)'(?:, ?'([^']*)')?(?:, ?'([^']*)')?\)$`)

func isControl(text string) bool {
	return text == statusQuery || text == positionQuery || controlPattern.MatchString(text)
}

var statusColumns = []column{
	{"server_id", pgtype.TextOID},
	{"role", pgtype.TextOID},
	{"term", pgtype.Int8OID},
	{"promised_term", pgtype.Int8OID},
	{"log_term", pgtype.Int8OID},
	{"written", pgtype.Int8OID},
	{"received", pgtype.Int8OID},
	{"replayed", pgtype.Int8OID},
	{"leaving", pgtype.BoolOID},
}

var positionColumns = []column{{"term", pgtype.Int8OID}, {"position", pgtype.Int8OID}}

// controlColumns returns the result columns of a control statement.
func controlColumns(text string) []column {
	if text == positionQuery {
		return positionColumns
	}
	return statusColumns
}

// control executes a function of the group control protocol without using SQLite or the writer lock.
func (server *Server) control(text string) (*result, error) {
	var status Status
	var err error
	switch text {
	case positionQuery:
		term, position := server.group.position()
		row := []driver.Value{int64(term), int64(position)}
		return &result{columns: positionColumns, rows: [][]driver.Value{row}, tag: "SELECT 1", hasRows: true}, nil
	case statusQuery:
		status = server.group.status()
	default:
		status, err = server.runControl(controlPattern.FindStringSubmatch(text))
	}
	status.Leaving = server.switches.state().Leaving
	if err != nil {
		refused := translate(err)
		if detail, failed := json.Marshal(status); failed == nil {
			refused.detail = string(detail)
		}
		return nil, refused
	}
	row := []driver.Value{
		string(status.ServerID), string(status.Role), int64(status.Term), int64(status.PromisedTerm), int64(status.LogTerm),
		int64(status.Written), int64(status.Received), int64(status.Replayed), status.Leaving,
	}
	return &result{columns: statusColumns, rows: [][]driver.Value{row}, tag: "SELECT 1", hasRows: true}, nil
}

// runControl executes a control statement that matched controlPattern; match holds the submatches.
func (server *Server) runControl(match []string) (Status, error) {
	number, err := strconv.ParseUint(match[2], 10, 63)
	if err != nil {
		return Status{}, fail("22P02", "invalid term %q", match[2])
	}
	term := ids.Term(number)
	switch {
	case match[1] == "fence" && match[3] == "":
		return server.group.fence(term)
	case match[1] == "promote" && match[4] == "":
		start, err := parsePosition(match[3])
		if err != nil {
			return Status{}, err
		}
		return server.promote(term, start)
	case match[1] == "follow":
		start, err := parsePosition(match[4])
		if err != nil {
			return Status{}, err
		}
		return server.follow(term, match[3], start)
	}
	return Status{}, fail("42883", "function group_%s does not take these arguments", match[1])
}

func parsePosition(text string) (ids.LogPosition, error) {
	number, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, fail("22P02", "invalid log position %q", text)
	}
	return ids.LogPosition(number), nil
}

// position returns the end of the log, together with the server's term on a primary and the last record's term on a
// replica.
func (group *group) position() (ids.Term, ids.LogPosition) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.role == Primary {
		return group.term, ids.LogPosition(len(group.log))
	}
	return group.logTermLocked(), ids.LogPosition(len(group.log))
}

// promote replays the rest of the log and makes the server the primary of the term. It has no effect if the server
// already is.
func (server *Server) promote(term ids.Term, start ids.LogPosition) (Status, error) {
	group := server.group
	group.applyLock.Lock()
	defer group.applyLock.Unlock()
	group.mutex.Lock()
	if group.promisedTerm != term {
		defer group.mutex.Unlock()
		return group.statusLocked(), fail("55000", "the promised term is %d, not %d", group.promisedTerm, term)
	}
	if group.role == Primary && group.term == term {
		defer group.mutex.Unlock()
		return group.statusLocked(), nil
	}
	if end := ids.LogPosition(len(group.log)); end < start {
		defer group.mutex.Unlock()
		return group.statusLocked(), fail("55000", "the log ends at %d, before the start %d of the term", end, start)
	}
	group.truncateLocked(group.truncationPointLocked(term, start))
	group.mutex.Unlock()

	for {
		more, err := server.replayNext()
		if err != nil {
			return group.status(), fmt.Errorf("replay before promotion: %w", err)
		}
		if !more {
			break
		}
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.role, group.term, group.primary = Primary, term, ""
	group.notifyRole()
	server.logf("promoted in term %d at position %d", term, len(group.log))
	return group.statusLocked(), nil
}

// follow makes the server a replica of the primary of the term at the address.
func (server *Server) follow(term ids.Term, address string, start ids.LogPosition) (Status, error) {
	group := server.group
	group.applyLock.Lock()
	defer group.applyLock.Unlock()
	group.mutex.Lock()
	if group.promisedTerm > term {
		defer group.mutex.Unlock()
		return group.statusLocked(), fail("55000", "the server has promised term %d", group.promisedTerm)
	}
	if group.role == Primary && group.term == term {
		defer group.mutex.Unlock()
		return group.statusLocked(), fail("55000", "the server is the primary of term %d", term)
	}
	demoted := group.role == Primary
	group.truncateLocked(group.truncationPointLocked(term, start))
	group.role, group.term, group.promisedTerm, group.primary = Replica, term, term, address
	rebuild := group.rebuild
	group.notifyRole()
	status := group.statusLocked()
	group.mutex.Unlock()
	if demoted || rebuild {
		server.closeClientSessions()
	}
	server.logf("following %s in term %d from position %d", address, term, status.Received)
	return status, nil
}
