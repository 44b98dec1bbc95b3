package session_test

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"dotterelgw/core/ids"
)

// database is an in-memory backend server: it answers a few statement texts and logs the messages that it gets.
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
	// fault changes the answer to the next statement with the text: "drop" closes the connection before it,
	// "drop after" closes it once the statement has run, "twice" answers it twice, "crossed" sends the answer of
	// another statement, "write" refuses it as a write, "late" holds the answer back until release is closed.
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

// lock runs the function with the database's state.
func (database *database) lock(change func()) {
	database.mutex.Lock()
	defer database.mutex.Unlock()
	change()
}

func (database *database) note(conn uint32, format string, values ...any) {
	database.lock(func() {
		if !database.quiet {
			database.lines = append(database.lines, fmt.Sprintf("%s #%d > ", database.name, conn)+fmt.Sprintf(format, values...))
		}
	})
}

// link is one connection to the database.
type link struct {
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
	// hold is the number of messages to read before the answer is sent, so that the server has read all that was sent.
	hold int
}

func (database *database) serve(conn net.Conn) {
	defer conn.Close()
	link := &link{
		database: database, conn: conn, status: 'I', backend: pgproto3.NewBackend(conn, conn), cancel: make(chan struct{}, 1),
		prepared: make(map[string]string), portals: make(map[string]string),
	}
	message, err := link.backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if request, ok := message.(*pgproto3.CancelRequest); ok {
		database.lock(func() {
			if canceled := database.canceled[request.ProcessID]; canceled != nil {
				canceled <- struct{}{}
			}
		})
		return
	}
	if start, ok := message.(*pgproto3.StartupMessage); ok {
		link.readOnly = start.Parameters["default_transaction_read_only"] == "on"
	}
	database.lock(func() {
		database.nextID++
		link.id = database.nextID
		database.canceled[link.id] = link.cancel
	})
	link.send(&pgproto3.AuthenticationOk{}, &pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"},
		&pgproto3.BackendKeyData{ProcessID: link.id, SecretKey: []byte{1, 2, 3, 4}}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	for link.hold > 0 || link.backend.Flush() == nil {
		link.hold--
		message, err := link.backend.Receive()
		if err != nil || !link.handle(message) {
			_ = link.backend.Flush()
			return
		}
	}
}

func (link *link) send(messages ...pgproto3.BackendMessage) {
	for _, message := range messages {
		link.backend.Send(message)
	}
}

func (link *link) handle(message pgproto3.FrontendMessage) bool {
	if _, ok := message.(*pgproto3.Sync); ok {
		link.note(link.id, "Sync")
		link.skip = false
		link.send(&pgproto3.ReadyForQuery{TxStatus: link.status})
		return true
	}
	if link.skip {
		return true
	}
	switch message := message.(type) {
	case *pgproto3.Query:
		link.note(link.id, "Query %q", message.String)
		if !link.run(message.String, true) {
			return false
		}
		link.send(&pgproto3.ReadyForQuery{TxStatus: link.status})
	case *pgproto3.Parse:
		link.note(link.id, "Parse %s %q", shorten(message.Name), message.Query)
		if _, taken := link.prepared[message.Name]; taken && message.Name != "" {
			link.fail("42P05", "prepared statement already exists")
			return true
		}
		link.prepared[message.Name] = message.Query
		link.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		link.note(link.id, "Bind %q %s", message.DestinationPortal, shorten(message.PreparedStatement))
		query, ok := link.prepared[message.PreparedStatement]
		if !ok {
			link.fail("26000", "prepared statement does not exist")
			return true
		}
		link.portals[message.DestinationPortal] = query
		link.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		link.note(link.id, "Describe %c %s", message.ObjectType, shorten(message.Name))
		query := link.portals[message.Name]
		if message.ObjectType == 'S' {
			query = link.prepared[message.Name]
			link.send(&pgproto3.ParameterDescription{})
		}
		if head(query) == "SELECT" {
			link.send(&pgproto3.RowDescription{Fields: fields(query)})
		} else {
			link.send(&pgproto3.NoData{})
		}
	case *pgproto3.Execute:
		link.note(link.id, "Execute %q", message.Portal)
		return link.run(link.portals[message.Portal], false)
	case *pgproto3.Flush:
		link.note(link.id, "Flush")
	case *pgproto3.Terminate:
		return false
	}
	return true
}

func (link *link) fail(code, text string) {
	if link.status == 'T' {
		link.status = 'E'
	}
	link.skip = true
	link.send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: text})
}

// run answers one statement; it returns false when the connection is to be closed.
func (link *link) run(query string, simple bool) bool {
	var fault string
	link.lock(func() {
		fault = link.fault[query]
		delete(link.fault, query)
	})
	switch fault {
	case "drop":
		return false
	case "late":
		<-link.release
	case "crossed":
		query = "SELECT 'answer of another'"
		simple = !simple
		link.hold = 2
	}
	if fault == "write" {
		link.fail("25006", "cannot write in a read-only transaction")
	} else {
		link.answer(query, simple)
	}
	if simple {
		link.skip = false
	}
	if fault == "twice" {
		link.hold = 1
		if simple {
			link.send(&pgproto3.ReadyForQuery{TxStatus: link.status})
		}
		link.answer(query, simple)
	}
	return fault != "drop after"
}

func (link *link) answer(query string, simple bool) {
	verb := head(query)
	var replica bool
	var term, log int
	link.lock(func() { replica, term, log = link.replica, link.term, link.log })
	switch {
	case verb == "COMMIT" || verb == "ROLLBACK":
		if link.status == 'E' {
			verb = "ROLLBACK"
		}
		link.status = 'I'
		link.send(&pgproto3.CommandComplete{CommandTag: []byte(verb)})
	case link.status == 'E':
		link.fail("25P02", "current transaction is aborted")
	case verb == "BEGIN":
		link.status = 'T'
		link.send(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
	case query == "SELECT * FROM group_position()":
		link.rows(query, simple, strconv.Itoa(term), strconv.Itoa(log))
	case query == "SELECT wait()":
		<-link.cancel
		link.fail("57014", "canceling statement due to user request")
	case query == "SELECT writes()":
		link.lock(func() { link.log++ })
		link.rows(query, simple, "done")
	case verb == "SELECT":
		link.rows(query, simple, strings.Trim(query[6:], " '"))
	case verb == "INSERT" && (replica || link.readOnly):
		link.fail("25006", "cannot execute INSERT in a read-only transaction")
	case verb == "INSERT":
		link.lock(func() { link.log++ })
		link.send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
	case verb == "SET":
		link.readOnly = link.readOnly || query == "SET default_transaction_read_only = on"
		link.send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
	case verb == "DISCARD":
		link.readOnly = false
		clear(link.prepared)
		link.send(&pgproto3.CommandComplete{CommandTag: []byte("DISCARD ALL")})
	default:
		link.fail("42601", "syntax error")
	}
}

func (link *link) rows(query string, simple bool, values ...string) {
	if simple {
		link.send(&pgproto3.RowDescription{Fields: fields(query)})
	}
	row := &pgproto3.DataRow{}
	for _, value := range values {
		row.Values = append(row.Values, []byte(value))
	}
	link.send(row, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
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

func head(query string) string {
	first, _, _ := strings.Cut(strings.ToUpper(strings.TrimSpace(query)), " ")
	return first
}

// shorten leaves out the hash in a server-side statement name.
func shorten(name string) string {
	if len(name) > 13 && strings.HasPrefix(name, "dotterel_") {
		return "dotterel_" + name[9:13]
	}
	return strconv.Quote(name)
}

// position returns the end of the server's log.
func (database *database) position() (end ids.LogPosition) {
	database.lock(func() { end = ids.LogPosition(database.log) })
	return end
}
