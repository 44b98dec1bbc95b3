package database

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"modernc.org/sqlite"
	sqlite3 "modernc.org/sqlite/lib"
)

// failure is an error with the fields of an ErrorResponse.
type failure struct {
	code, message, detail string
	fatal                 bool
}

// Error implements error.Error.
func (failure *failure) Error() string {
	return fmt.Sprintf("%s (SQLSTATE %s)", failure.message, failure.code)
}

func (failure *failure) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if failure.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: failure.code, Message: failure.message, Detail: failure.detail,
	}
}

func fail(code, format string, arguments ...any) *failure {
	return &failure{code: code, message: fmt.Sprintf(format, arguments...)}
}

// errDisconnect makes the session close the connection without a response.
var errDisconnect = errors.New("connection closed without a response")

func errFailedTransaction() error {
	return fail("25P02", "current transaction is aborted, commands ignored until end of transaction block")
}

// sqlstatesByCode maps extended SQLite result codes to SQLSTATEs.
var sqlstatesByCode = map[int]string{
	sqlite3.SQLITE_CONSTRAINT_UNIQUE:     "23505",
	sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY: "23505",
	sqlite3.SQLITE_CONSTRAINT_ROWID:      "23505",
	sqlite3.SQLITE_CONSTRAINT_NOTNULL:    "23502",
	sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY: "23503",
	sqlite3.SQLITE_CONSTRAINT_CHECK:      "23514",
	sqlite3.SQLITE_BUSY_SNAPSHOT:         "40001",
	sqlite3.SQLITE_BUSY:                  "40001",
	sqlite3.SQLITE_INTERRUPT:             "57014",
	sqlite3.SQLITE_TOOBIG:                "54000",
	sqlite3.SQLITE_MISMATCH:              "22P02",
}

// sqlstatesByText maps substrings of SQLite messages to SQLSTATEs; it is used for the generic result code SQLITE_ERROR.
var sqlstatesByText = []struct{ substring, code string }{
	{"no such table", "42P01"},
	{"no such column", "42703"},
	{"has no column", "42703"},
	{"no such function", "42883"},
	{"already exists", "42P07"},
	{"syntax error", "42601"},
	{"incomplete input", "42601"},
	{"unrecognized token", "42601"},
	{"no such savepoint", "3B001"},
}

// translate converts an error of SQLite or of a context to a failure.
func translate(err error) *failure {
	var known *failure
	if errors.As(err, &known) {
		return known
	}
	if errors.Is(err, context.Canceled) {
		return fail("57014", "canceling statement due to user request")
	}
	var lite *sqlite.Error
	if !errors.As(err, &lite) {
		return fail("XX000", "%s", err)
	}
	code, ok := sqlstatesByCode[lite.Code()]
	if !ok {
		code, ok = sqlstatesByCode[lite.Code()&0xff]
	}
	if ok {
		switch code {
		case "57014":
			return fail(code, "canceling statement due to user request")
		case "40001":
			return fail(code, "could not serialize access due to concurrent update")
		case "23505":
			return &failure{code: code, message: "duplicate key value violates unique constraint", detail: lite.Error()}
		}
		return fail(code, "%s", lite.Error())
	}
	for _, text := range sqlstatesByText {
		if strings.Contains(lite.Error(), text.substring) {
			return fail(text.code, "%s", lite.Error())
		}
	}
	return fail("XX000", "%s", lite.Error())
}
