package database

import (
	"database/sql/driver"
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

var functionPattern = regexp.MustCompile(
	`(?is)^select\s+(pg_backend_pid|version|current_database|pg_is_in_recovery)\s*\(\s*\)$`)

// functionColumn returns the result column of a session function.
func functionColumn(name string) column {
	switch name {
	case "pg_backend_pid":
		return column{name, pgtype.Int8OID}
	case "pg_is_in_recovery":
		return column{name, pgtype.BoolOID}
	}
	return column{name, pgtype.TextOID}
}

// function returns the result of a session function without using SQLite.
func (session *session) function(parsed *statement) *result {
	var value driver.Value
	switch parsed.name {
	case "pg_backend_pid":
		value = int64(session.processID)
	case "version":
		value = "PostgreSQL " + session.variables.get("server_version") + " (dotterelgw stand-in over SQLite)"
	case "current_database":
		value = session.database
	case "pg_is_in_recovery":
		value = session.server.group.status().Role == Replica
	}
	return &result{
		columns: []column{functionColumn(parsed.name)}, rows: [][]driver.Value{{value}}, tag: "SELECT 1", hasRows: true,
	}
}

// functionName returns the name of the session function if the statement consists of a single call of one, or "".
func functionName(text string) string {
	if match := functionPattern.FindStringSubmatch(text); match != nil {
		return strings.ToLower(match[1])
	}
	return ""
}
