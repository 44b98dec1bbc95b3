package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	// workTime is the time that a read, write or commit takes; handshakeTime that of a new connection.
	workTime      = 4 * time.Millisecond
	handshakeTime = 12 * time.Millisecond
	// commitPoll is the interval at which a commit checks whether a replica has received it.
	commitPoll = time.Millisecond
)

// States of a session as READY reports them.
const (
	stateIdle        = "I"
	stateTransaction = "T"
	stateFailed      = "E"
)

var errLeadLost = errors.New("the database lost the lead during a commit")

// session is one connection to a database.
type session struct {
	database *database
	conn     net.Conn
	reader   *bufio.Reader
	tenant   string
	number   int
	state    string
	readOnly bool
	values   map[string]string
	// prepared holds the access and shape of the prepared statements by their names.
	prepared map[string]string
	writes   map[string]string
	// slots are those of the database in the life in which the session began.
	slots chan struct{}
	// working is set while the session holds a slot.
	working bool
}

func readLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("reading a line: %w", err)
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}

// serve handles one connection until it ends.
func (database *database) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	session := &session{
		database: database, conn: conn, reader: bufio.NewReader(conn), state: stateIdle,
		values: make(map[string]string), prepared: make(map[string]string), writes: make(map[string]string),
	}
	if !session.open() {
		return
	}
	for {
		line, err := readLine(session.reader)
		if err != nil || line == "TERMINATE" {
			break
		}
		fields := strings.SplitN(line, " ", 3)
		if len(fields) < 3 || fields[0] != "QUERY" {
			break
		}
		answer, err := session.query(fields[1], fields[2])
		if err != nil {
			break
		}
		_, err = conn.Write([]byte(answer + session.ready()))
		session.freeSlot()
		if err != nil {
			break
		}
	}
	session.freeSlot()
	database.group.mutex.Lock()
	delete(database.connections, conn)
	database.group.mutex.Unlock()
}

// open answers the STARTUP line; false if the connection ends with it.
func (session *session) open() bool {
	database, group := session.database, session.database.group
	line, err := readLine(session.reader)
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" {
		return false
	}
	code := ""
	group.mutex.Lock()
	switch {
	case database.down:
		group.mutex.Unlock()
		return false
	case fields[1] != group.name || len(fields) > 3 && fields[3] != database.id:
		code = "MISROUTED"
	case len(database.connections) >= maxConnections:
		code = "TOOMANY"
	default:
		group.connections++
		session.tenant, session.number = fields[2], group.connections
		database.connections[session.conn], session.slots = true, database.slots
	}
	group.mutex.Unlock()
	if code != "" {
		_, _ = session.conn.Write([]byte("ERROR " + code + " " + database.id + "\r\n"))
		return false
	}
	session.slots <- struct{}{}
	time.Sleep(handshakeTime)
	<-session.slots
	_, err = session.conn.Write([]byte(session.ready()))
	return err == nil
}

// ready returns the READY line with the state and the position that reads see.
func (session *session) ready() string {
	session.database.group.mutex.Lock()
	defer session.database.group.mutex.Unlock()
	return fmt.Sprintf("READY %s %d.%d\r\n", session.state, session.database.term, session.database.visible())
}

// refuse returns an ERROR line, which fails an open transaction.
func (session *session) refuse(code string) string {
	if session.state == stateTransaction {
		session.state = stateFailed
	}
	return "ERROR " + code + " " + session.database.id + "\r\n"
}

const completed = "COMPLETE -\r\n"

// query runs one statement and returns its answer without READY.
func (session *session) query(id, text string) (string, error) {
	statement, after := text, ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, statement, _ = strings.Cut(rest, " ")
	}
	verb, argument, _ := strings.Cut(statement, " ")
	if session.state == stateFailed && verb != "COMMIT" && verb != "ROLLBACK" {
		return session.refuse("MALFORMED"), nil
	}
	switch verb {
	case "SET":
		name, value, _ := strings.Cut(argument, " ")
		session.values[name] = value
		return completed, nil
	case "RESET":
		session.values, session.prepared = make(map[string]string), make(map[string]string)
		return completed, nil
	case "PREPARE":
		name, shape, _ := strings.Cut(argument, " ")
		session.prepared[name] = shape
		return completed, nil
	case "DEALLOC":
		delete(session.prepared, argument)
		return completed, nil
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return session.control(verb, argument), nil
	case "BEGIN":
		return session.begin(argument, after), nil
	case "ROLLBACK":
		session.state, session.writes = stateIdle, make(map[string]string)
		return completed, nil
	}
	return session.work(id, statement, after)
}

// lacks reports whether the log lacks the position, which may be empty. The mutex is held.
func (session *session) lacks(position string) bool {
	var term, number int
	if _, err := fmt.Sscanf(position, "%d.%d", &term, &number); err != nil {
		return false
	}
	database := session.database
	return database.term < term || database.term == term && database.visible() < number
}

func (session *session) begin(argument, after string) string {
	session.database.group.mutex.Lock()
	defer session.database.group.mutex.Unlock()
	switch {
	case session.state != stateIdle:
		return session.refuse("MALFORMED")
	case session.lacks(after):
		return session.refuse("LAGGING")
	case argument != "READ" && !session.database.isPrimary:
		return session.refuse("READONLY")
	}
	session.state, session.readOnly = stateTransaction, argument == "READ"
	return completed
}

// freeSlot frees the slot of the statement that has been answered.
func (session *session) freeSlot() {
	if session.working {
		<-session.slots
		session.working = false
	}
}

// work runs a read, write or commit, which occupies a slot until its answer has left.
func (session *session) work(id, statement, after string) (string, error) {
	select {
	case session.slots <- struct{}{}:
	case <-time.After(slotWait):
		return session.refuse("BUSY"), nil
	}
	session.working = true
	time.Sleep(workTime)
	fields := strings.SplitN(statement, " ", 3)
	if fields[0] == "EXECUTE" {
		var known bool
		if fields, known = session.expand(statement); !known {
			return session.refuse("NOSTMT"), nil
		}
	}
	switch {
	case fields[0] == "READ" && len(fields) > 1:
		return session.read(id, statement, fields[1], after), nil
	case fields[0] == "WRITE" && len(fields) > 2:
		return session.write(id, statement, fields[1], fields[2])
	case fields[0] == "COMMIT":
		return session.commit(id)
	}
	return session.refuse("MALFORMED"), nil
}

// expand returns the access, item and data of an EXECUTE; false if the name is unknown.
func (session *session) expand(statement string) ([]string, bool) {
	fields := strings.SplitN(statement, " ", 4)
	shape, ok := session.prepared[fields[min(1, len(fields)-1)]]
	if !ok || len(fields) < 3 {
		return nil, false
	}
	access, _, _ := strings.Cut(shape, " ")
	return append([]string{access}, fields[2:]...), true
}

// ran records that a statement has run and returns the signature of its answer. The mutex is held.
func (session *session) ran(id, statement string) string {
	group := session.database.group
	group.executions++
	group.recorder.notef("ran %s tenant %s conn %d id %s: %s values %v", session.database.id, session.tenant, session.number, id, statement, session.values)
	return fmt.Sprintf("%s.%d.%s", session.database.id, group.executions, id)
}

func (session *session) read(id, statement, name, after string) string {
	session.database.group.mutex.Lock()
	defer session.database.group.mutex.Unlock()
	database := session.database
	if session.lacks(after) {
		return session.refuse("LAGGING")
	}
	if session.state == stateTransaction && !session.readOnly && !database.isPrimary {
		return session.refuse("READONLY")
	}
	if name == largeItem {
		return strings.Repeat("ROW 1\r\n", shortRowsCount) + "COMPLETE " + session.ran(id, statement) + "\r\n"
	}
	value, ok := session.writes[name]
	if !ok {
		value = database.value(name, database.visible())
	}
	return "ROW " + value + "\r\nCOMPLETE " + session.ran(id, statement) + "\r\n"
}

func (session *session) write(id, statement, name, data string) (string, error) {
	session.database.group.mutex.Lock()
	defer session.database.group.mutex.Unlock()
	if !session.database.isPrimary {
		return session.refuse("READONLY"), nil
	}
	signature := session.ran(id, statement)
	if session.state == stateTransaction {
		session.writes[name] = data
		return "COMPLETE " + signature + "\r\n", nil
	}
	if err := session.append(map[string]string{name: data}); err != nil {
		return "", err
	}
	return "COMPLETE " + signature + "\r\n", nil
}

func (session *session) commit(id string) (string, error) {
	session.database.group.mutex.Lock()
	defer session.database.group.mutex.Unlock()
	writes, failed := session.writes, session.state == stateFailed
	session.state, session.writes = stateIdle, make(map[string]string)
	if failed {
		return session.refuse("ABORTED"), nil
	}
	if len(writes) > 0 && !session.database.isPrimary {
		return session.refuse("READONLY"), nil
	}
	signature := session.ran(id, "COMMIT")
	if len(writes) > 0 {
		if err := session.append(writes); err != nil {
			return "", err
		}
	}
	return "COMPLETE " + signature + "\r\n", nil
}

// append adds a commit to the log and waits until a replica has received it. The mutex is held, but not while it waits.
func (session *session) append(items map[string]string) error {
	database, group := session.database, session.database.group
	database.log = append(database.log, commit{items: items})
	term, number, born := database.term, len(database.log), database.born
	for {
		for _, other := range group.databases {
			if other != database && !other.down && other.term == term && len(other.log) >= number {
				return nil
			}
		}
		group.mutex.Unlock()
		time.Sleep(commitPoll)
		group.mutex.Lock()
		if !database.isPrimary || database.term != term || database.down || database.born != born {
			return errLeadLost
		}
	}
}

// control runs a control statement and returns the row with the status.
func (session *session) control(verb, argument string) string {
	database := session.database
	database.group.mutex.Lock()
	defer database.group.mutex.Unlock()
	// A statement without a term has the term 0.
	term, _ := strconv.Atoi(argument)
	switch {
	case verb == "PAUSE" && !database.isPrimary && term > database.term:
		database.pausedTerm = term
	case verb == "RESUME":
		database.pausedTerm = 0
	case verb == "STEPDOWN" && database.isPrimary && term > database.term:
		database.stepDown()
	}
	if verb != "STATUS" {
		database.group.recorder.notef("control %s %s %s", database.id, verb, argument)
	}
	return fmt.Sprintf("ROW %s %d %d.%d %d 0 %d %d\r\n%s", database.role(), database.term, database.term, len(database.log),
		database.pausedTerm, len(database.slots), len(database.connections), completed)
}
