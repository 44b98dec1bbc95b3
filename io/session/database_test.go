package session_test

import (
	"fmt"
	"maps"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"dotterelgw/core/ids"
)

// database is a fake backend server that answers a few statement texts and logs the messages that it receives.
type database struct {
	name     string
	listener net.Listener

	mutex    sync.Mutex
	replica  bool
	term     int
	log      int
	lines    []string
	canceled map[uint32]chan struct{}
	nextID   uint32
	quiet    bool
	// fault maps a statement text to the fault injected into its next execution: "drop" closes the connection before the
	// statement runs, "drop after" closes it afterwards, "twice" sends the answer twice, "twice later" sends
	// the second one 20 ms later, "crossed" sends the answer to another
	// statement, "write" refuses it as a write, "notice" precedes the answer with unsolicited messages, and "late" delays the answer until release is closed.
	fault   map[string]string
	release chan struct{}
}

func newDatabase(t testing.TB, name string, replica bool) *database {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	database := &database{
		name: name, listener: listener, replica: replica, term: 1, log: 100,
		canceled: make(map[uint32]chan struct{}), fault: make(map[string]string), release: make(chan struct{}),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go database.serve(conn)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return database
}

// withLock calls the function while it holds the mutex.
func (database *database) withLock(change func()) {
	database.mutex.Lock()
	defer database.mutex.Unlock()
	change()
}

// logLine logs a message that was received, unless the database is quiet.
func (database *database) logLine(conn uint32, format string, values ...any) {
	database.withLock(func() {
		if !database.quiet {
			database.lines = append(database.lines, fmt.Sprintf("%s #%d > ", database.name, conn)+fmt.Sprintf(format, values...))
		}
	})
}

// connection is the server side of one connection to the database.
type connection struct {
	*database
	backend  *pgproto3.Backend
	conn     net.Conn
	id       uint32
	status   byte
	cancel   chan struct{}
	prepared map[string]string
	portals  map[string]string
	skip     bool
	readOnly bool
	// readWrite reports whether the transaction was begun as READ WRITE.
	readWrite bool
	// values holds the settings of the session, and saved those that a rollback restores.
	values, saved map[string]string
	// readAhead is the number of further messages to read before the pending answers are flushed, so that the server has read
	// everything that was sent to it.
	readAhead int
}

func (database *database) serve(conn net.Conn) {
	defer conn.Close()
	connection := &connection{
		database: database, conn: conn, status: 'I', backend: pgproto3.NewBackend(conn, conn), cancel: make(chan struct{}, 1),
		prepared: make(map[string]string), portals: make(map[string]string), values: make(map[string]string),
	}
	message, err := connection.backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if request, ok := message.(*pgproto3.CancelRequest); ok {
		database.withLock(func() {
			if canceled := database.canceled[request.ProcessID]; canceled != nil {
				canceled <- struct{}{}
			}
		})
		return
	}
	if start, ok := message.(*pgproto3.StartupMessage); ok {
		connection.readOnly = start.Parameters["default_transaction_read_only"] == "on"
	}
	database.withLock(func() {
		database.nextID++
		connection.id = database.nextID
		database.canceled[connection.id] = connection.cancel
	})
	connection.send(&pgproto3.AuthenticationOk{}, &pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"},
		&pgproto3.BackendKeyData{ProcessID: connection.id, SecretKey: []byte{1, 2, 3, 4}}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	for connection.readAhead > 0 || connection.backend.Flush() == nil {
		connection.readAhead--
		message, err := connection.backend.Receive()
		if err != nil || !connection.handle(message) {
			_ = connection.backend.Flush()
			return
		}
	}
}

// repeatAnswer sends the answer to a query for one row, or the error for any other statement, again.
func (connection *connection) repeatAnswer(query string, status byte) {
	time.Sleep(20 * time.Millisecond)
	messages := []pgproto3.BackendMessage{&pgproto3.ErrorResponse{Severity: "ERROR", Code: "42601", Message: "syntax error"}}
	if row, ok := strings.CutPrefix(query, "SELECT "); ok {
		messages = []pgproto3.BackendMessage{
			&pgproto3.RowDescription{Fields: fields(query)}, &pgproto3.DataRow{Values: [][]byte{[]byte(strings.Trim(row, "'"))}},
			&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		}
	}
	var answer []byte
	for _, message := range append(messages, &pgproto3.ReadyForQuery{TxStatus: status}) {
		answer, _ = message.Encode(answer)
	}
	_, _ = connection.conn.Write(answer)
	connection.logLine(connection.id, "second answer")
}

func (connection *connection) send(messages ...pgproto3.BackendMessage) {
	for _, message := range messages {
		connection.backend.Send(message)
	}
}

func (connection *connection) handle(message pgproto3.FrontendMessage) bool {
	if _, ok := message.(*pgproto3.Sync); ok {
		connection.logLine(connection.id, "Sync")
		connection.skip = false
		connection.send(&pgproto3.ReadyForQuery{TxStatus: connection.status})
		return true
	}
	if connection.skip {
		return true
	}
	switch message := message.(type) {
	case *pgproto3.Query:
		connection.logLine(connection.id, "Query %q", message.String)
		if !connection.run(message.String, true) {
			return false
		}
		connection.send(&pgproto3.ReadyForQuery{TxStatus: connection.status})
	case *pgproto3.Parse:
		connection.logLine(connection.id, "Parse %s %q", shorten(message.Name), message.Query)
		if _, taken := connection.prepared[message.Name]; taken && message.Name != "" {
			connection.fail("42P05", "prepared statement already exists")
			return true
		}
		connection.prepared[message.Name] = message.Query
		connection.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		connection.logLine(connection.id, "Bind %q %s", message.DestinationPortal, shorten(message.PreparedStatement))
		query, ok := connection.prepared[message.PreparedStatement]
		if !ok {
			connection.fail("26000", "prepared statement does not exist")
			return true
		}
		connection.portals[message.DestinationPortal] = query
		connection.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		connection.logLine(connection.id, "Describe %c %s", message.ObjectType, shorten(message.Name))
		query := connection.portals[message.Name]
		if message.ObjectType == 'S' {
			query = connection.prepared[message.Name]
			connection.send(&pgproto3.ParameterDescription{})
		}
		if firstWord(query) == "SELECT" {
			connection.send(&pgproto3.RowDescription{Fields: fields(query)})
		} else {
			connection.send(&pgproto3.NoData{})
		}
	case *pgproto3.Execute:
		connection.logLine(connection.id, "Execute %q", message.Portal)
		return connection.run(connection.portals[message.Portal], false)
	case *pgproto3.Flush:
		connection.logLine(connection.id, "Flush")
	case *pgproto3.Terminate:
		return false
	}
	return true
}

func (connection *connection) fail(code, text string) {
	if connection.status == 'T' {
		connection.status = 'E'
	}
	connection.skip = true
	connection.send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: text})
}

// run answers one statement. It returns false if the connection is to be closed.
func (connection *connection) run(query string, simple bool) bool {
	var fault string
	connection.withLock(func() {
		fault = connection.fault[query]
		delete(connection.fault, query)
	})
	switch fault {
	case "drop":
		return false
	case "late":
		<-connection.release
	case "notice":
		connection.send(&pgproto3.NoticeResponse{Severity: "NOTICE", Message: "note"}, &pgproto3.ParameterStatus{Name: "a", Value: "b"})
	case "crossed":
		query = "SELECT 'answer of another'"
		simple = !simple
		connection.readAhead = 2
	}
	if fault == "write" {
		connection.fail("25006", "cannot write in a read-only transaction")
	} else {
		connection.answer(query, simple)
	}
	if simple {
		connection.skip = false
	}
	if fault == "twice" {
		connection.readAhead = 1
		if simple {
			connection.send(&pgproto3.ReadyForQuery{TxStatus: connection.status})
		}
		connection.answer(query, simple)
	}
	if fault == "twice later" {
		go connection.repeatAnswer(query, connection.status)
	}
	return fault != "drop after"
}

func (connection *connection) answer(query string, simple bool) {
	query = withoutComment(query)
	verb := firstWord(query)
	var replica bool
	var term, log int
	connection.withLock(func() { replica, term, log = connection.replica, connection.term, connection.log })
	switch {
	case verb == "COMMIT" || verb == "ROLLBACK":
		if connection.status == 'E' {
			verb = "ROLLBACK"
		}
		if verb == "ROLLBACK" && connection.status != 'I' {
			connection.values = connection.saved
		}
		connection.status, connection.readWrite = 'I', false
		connection.send(&pgproto3.CommandComplete{CommandTag: []byte(verb)})
	case query == hiddenCommit:
		connection.rows(query, simple, "x")
		connection.status = 'I'
		connection.send(&pgproto3.CommandComplete{CommandTag: []byte("COMMIT")})
	case connection.status == 'E':
		connection.fail("25P02", "current transaction is aborted")
	case verb == "BEGIN":
		connection.status = 'T'
		connection.readWrite = query == "BEGIN READ WRITE"
		connection.saved = maps.Clone(connection.values)
		connection.send(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
	case query == "SELECT * FROM group_position()":
		connection.rows(query, simple, strconv.Itoa(term), strconv.Itoa(log))
	case query == "SELECT wait()":
		<-connection.cancel
		connection.fail("57014", "canceling statement due to user request")
	case query == "SELECT writes()":
		connection.withLock(func() { connection.log++ })
		connection.rows(query, simple, "done")
	case query == "SELECT set_config('v', 'held', false)":
		connection.values["v"] = "held"
		connection.rows(query, simple, "held")
	case temporaryTags[query] != "":
		connection.values["v"] = "held"
		connection.send(&pgproto3.CommandComplete{CommandTag: []byte(temporaryTags[query])})
	case verb == "SELECT":
		connection.rows(query, simple, strings.Trim(query[6:], " '"))
	case verb == "INSERT" && (replica || connection.readOnly && !connection.readWrite):
		connection.fail("25006", "cannot execute INSERT in a read-only transaction")
	case verb == "INSERT":
		connection.withLock(func() { connection.log++ })
		connection.send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
	case verb == "SET":
		connection.readOnly = (connection.readOnly || query == "SET default_transaction_read_only = on") && query != "SET default_transaction_read_only = off"
		name, value, _ := strings.Cut(query[len("SET "):], " = ")
		connection.values[name] = value
		connection.send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
	case verb == "SHOW":
		connection.rows(query, simple, connection.values[query[len("SHOW "):]])
	case verb == "DEALLOCATE":
		name := query[len("DEALLOCATE "):]
		if connection.prepared[name] == "" {
			connection.fail("26000", "prepared statement does not exist")
			return
		}
		delete(connection.prepared, name)
		connection.send(&pgproto3.CommandComplete{CommandTag: []byte("DEALLOCATE")})
	case verb == "RESET":
		connection.readOnly = connection.readOnly && !strings.Contains(query, "read_only") && query != "RESET ALL"
		delete(connection.values, query[len("RESET "):])
		connection.send(&pgproto3.CommandComplete{CommandTag: []byte("RESET")})
	case verb == "DISCARD":
		connection.readOnly = false
		clear(connection.values)
		clear(connection.prepared)
		connection.send(&pgproto3.CommandComplete{CommandTag: []byte("DISCARD ALL")})
	default:
		connection.fail("42601", "syntax error")
	}
}

func (connection *connection) rows(query string, simple bool, values ...string) {
	if simple {
		connection.send(&pgproto3.RowDescription{Fields: fields(query)})
	}
	row := &pgproto3.DataRow{}
	for _, value := range values {
		row.Values = append(row.Values, []byte(value))
	}
	connection.send(row, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

func fields(query string) []pgproto3.FieldDescription {
	names := []string{"value"}
	if strings.Contains(query, "group_position") {
		names = []string{"term", "position"}
	}
	var fields []pgproto3.FieldDescription
	for _, name := range names {
		fields = append(fields, pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1})
	}
	return fields
}

// hiddenCommit is a SELECT and a COMMIT for a server whose standard_conforming_strings is off, and one SELECT otherwise.
const hiddenCommit = `SELECT '\''; COMMIT --'`

// temporaryTags maps statements that create a temporary object to their command tags in PostgreSQL. The fake server keeps the
// object as a setting named v, because the next session would see either.
var temporaryTags = map[string]string{
	"CREATE OR REPLACE TEMP VIEW v":   "CREATE VIEW",
	"CREATE TEMPORARY SEQUENCE v":     "CREATE SEQUENCE",
	"CREATE TEMP TABLE v AS SELECT 1": "SELECT 1",
	"SELECT 1 /* c */ INTO TEMP v":    "SELECT 1",
	"CREATE TABLE PG_TEMP.v (a int)":  "CREATE TABLE",
}

// withoutComment removes a comment at the start of the query, which ends at a carriage return or line feed as in PostgreSQL.
func withoutComment(query string) string {
	if end := strings.IndexAny(query, "\r\n"); strings.HasPrefix(query, "--") && end > 0 {
		return query[end+1:]
	}
	return query
}

// firstWord returns the first word of the query in upper case.
func firstWord(query string) string {
	first, _, _ := strings.Cut(strings.ToUpper(strings.TrimSpace(query)), " ")
	return first
}

// shorten truncates the hash in a server-side statement name.
func shorten(name string) string {
	if len(name) > 13 && strings.HasPrefix(name, "dotterel_") {
		return "dotterel_" + name[9:13]
	}
	return strconv.Quote(name)
}

// position returns the log position of the server.
func (database *database) position() (end ids.LogPosition) {
	database.withLock(func() { end = ids.LogPosition(database.log) })
	return end
}
