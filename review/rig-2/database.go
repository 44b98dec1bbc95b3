package main

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	// workTime is the time for which a statement takes a slot, handshakeTime that of a new connection.
	workTime, handshakeTime = 4 * time.Millisecond, 12 * time.Millisecond
	// slotWait is how long a statement waits for a slot before it is turned away.
	slotWait = 100 * time.Millisecond
	// maxMessage bounds a message in bytes.
	maxMessage = 1 << 20
)

// database is one database of a group. The mutex of the group guards the fields that change.
type database struct {
	group             *group
	id, address, zone string
	born              int64
	work              chan struct{}

	beats     int
	term      int
	paused    int
	isPrimary bool
	log       []commit
	// applied is the number of commits that reads see.
	applied int
	// failing is the share of the requests that fail, while the database still answers questions about its state.
	failing float64
}

// fail makes a share of the requests fail from now on; 0 ends that.
func (database *database) fail(share float64) {
	database.group.mutex.Lock()
	defer database.group.mutex.Unlock()
	database.failing = share
}

// fails draws whether a request fails.
func (database *database) fails() bool {
	database.group.mutex.Lock()
	defer database.group.mutex.Unlock()
	return rand.Float64() < database.failing
}

func (database *database) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go database.serve(conn)
	}
}

// serverSession is one connection of a node.
type serverSession struct {
	database *database
	tenant   string
	state    string
	readOnly bool
	writes   map[string]string
	values   map[string]string
	prepared map[string]string
	rows     []string
}

// serve answers one connection until it ends.
func (database *database) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, maxMessage)
	line, err := readLine(reader)
	if err != nil {
		return
	}
	fields := strings.Split(line, " ")
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != database.group.name || len(fields) > 3 && fields[3] != database.id {
		_, _ = fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", database.id)
		return
	}
	time.Sleep(handshakeTime)
	session := &serverSession{database: database, tenant: fields[2], state: "I", values: make(map[string]string), prepared: make(map[string]string)}
	if _, err := fmt.Fprintf(conn, "READY I %s\r\n", database.position()); err != nil {
		return
	}
	for {
		line, err := readLine(reader)
		if err != nil || !strings.HasPrefix(line, "QUERY ") {
			return
		}
		id, text, _ := strings.Cut(strings.TrimPrefix(line, "QUERY "), " ")
		session.rows = nil
		result := session.run(id, text)
		var answer strings.Builder
		for _, row := range session.rows {
			answer.WriteString("ROW " + row + "\r\n")
		}
		answer.WriteString(result + "\r\nREADY " + session.state + " " + database.position() + "\r\n")
		if _, err := conn.Write([]byte(answer.String())); err != nil {
			return
		}
	}
}

// readLine reads a message.
func readLine(reader *bufio.Reader) (string, error) {
	var line strings.Builder
	for {
		part, err := reader.ReadString('\n')
		if err != nil {
			return "", err
		}
		line.WriteString(part)
		if strings.HasSuffix(part, "\r\n") {
			return strings.TrimSuffix(line.String(), "\r\n"), nil
		}
	}
}

// position returns the end of what reads see.
func (database *database) position() string {
	database.group.mutex.Lock()
	defer database.group.mutex.Unlock()
	return fmt.Sprintf("%d.%d", database.logTerm(), database.applied)
}

// logTerm returns the term of the last commit. The mutex of the group is held.
func (database *database) logTerm() int {
	if len(database.log) == 0 {
		return database.term
	}
	return max(database.log[len(database.log)-1].term, 1)
}

// run runs a statement and returns the line of its result.
func (session *serverSession) run(id, text string) string {
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return session.control(verb, rest)
	}
	if session.state == "E" && verb != "COMMIT" && verb != "ROLLBACK" {
		return "ERROR MALFORMED the transaction has failed"
	}
	if verb == "AFTER" {
		var position string
		position, text, _ = strings.Cut(rest, " ")
		if !session.database.reached(position) {
			return "ERROR LAGGING " + session.database.id
		}
		verb, rest, _ = strings.Cut(text, " ")
	}
	if session.database.fails() {
		session.database.group.record.line("%s fails %q of tenant %s, request %s", session.database.id, text, session.tenant, id)
		return session.failed("FAILED a fault of the database")
	}
	switch verb {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		session.values[name] = value
		return "COMPLETE -"
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		session.prepared[name] = shape
		return "COMPLETE -"
	case "DEALLOC":
		delete(session.prepared, rest)
		return "COMPLETE -"
	case "RESET":
		session.values, session.prepared = make(map[string]string), make(map[string]string)
		return "COMPLETE -"
	case "BEGIN":
		return session.begin(rest == "READ")
	case "ROLLBACK":
		session.state, session.writes = "I", nil
		return "COMPLETE -"
	}
	select {
	case session.database.work <- struct{}{}:
	case <-time.After(slotWait):
		return "ERROR BUSY " + session.database.id
	}
	defer func() { <-session.database.work }()
	time.Sleep(workTime)
	return session.work(id, text, verb, rest)
}

// reached reports whether the log has the position.
func (database *database) reached(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	wantedTerm, _ := strconv.Atoi(term)
	wanted, _ := strconv.Atoi(number)
	database.group.mutex.Lock()
	defer database.group.mutex.Unlock()
	held := database.logTerm()
	return held > wantedTerm || held == wantedTerm && database.applied >= wanted
}

// failed returns the line of an error. A transaction fails with it.
func (session *serverSession) failed(text string) string {
	if session.state != "I" {
		session.state = "E"
	}
	return "ERROR " + text
}

// control answers a statement about the state of the database.
func (session *serverSession) control(verb, rest string) string {
	database := session.database
	term, _ := strconv.Atoi(rest)
	database.group.mutex.Lock()
	stepped := verb == "STEPDOWN" && database.isPrimary && term > database.term
	switch {
	case verb == "PAUSE" && term > database.term:
		database.paused = term
	case verb == "RESUME":
		database.paused = 0
	case stepped:
		database.isPrimary = false
	}
	role := "replica"
	if database.isPrimary {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %d.%d %d 0 0 1", role, database.term, database.logTerm(), len(database.log), database.paused)
	database.group.mutex.Unlock()
	if stepped {
		database.register()
	}
	session.rows = []string{row}
	return "COMPLETE -"
}

func (session *serverSession) begin(readOnly bool) string {
	session.database.group.mutex.Lock()
	leads := session.database.isPrimary
	session.database.group.mutex.Unlock()
	if !leads && !readOnly {
		return "ERROR READONLY " + session.database.id
	}
	session.state, session.readOnly, session.writes = "T", readOnly, make(map[string]string)
	return "COMPLETE -"
}

// work runs a statement that takes a slot.
func (session *serverSession) work(id, text, verb, rest string) string {
	database := session.database
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		shape, known := session.prepared[name]
		if !known {
			return "ERROR NOSTMT " + name
		}
		verb, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	group := database.group
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if !database.isPrimary && (verb == "WRITE" || session.state == "T" && !session.readOnly) {
		return session.failed("READONLY " + database.id)
	}
	if verb == "COMMIT" && session.state == "E" {
		session.state, session.writes = "I", nil
		return "ERROR ABORTED the transaction has failed"
	}
	item, data, _ := strings.Cut(rest, " ")
	switch verb {
	case "READ":
		session.rows = []string{database.read(item)}
	case "WRITE":
		if session.state == "I" {
			session.writes = map[string]string{item: data}
			if !session.commit() {
				return "ERROR FAILED no replica received the commit"
			}
		} else {
			session.writes[item] = data
		}
	case "COMMIT":
		session.state = "I"
		if !session.commit() {
			return "ERROR FAILED no replica received the commit"
		}
	default:
		return session.failed("MALFORMED " + verb)
	}
	group.signatures++
	group.executions = append(group.executions, execution{
		database: database.id, tenant: session.tenant, id: id, text: text, values: maps.Clone(session.values),
	})
	group.record.line("%s runs %q of tenant %s, request %s, values %v", database.id, text, session.tenant, id, session.values)
	return fmt.Sprintf("COMPLETE %s.%d", database.id, group.signatures)
}

// read returns the visible value of an item. The mutex of the group is held.
func (database *database) read(item string) string {
	for index := database.applied - 1; index >= 0; index-- {
		if data, written := database.log[index].items[item]; written {
			return data
		}
	}
	return "none"
}

// commit appends the writes to the logs. The mutex of the group is held.
func (session *serverSession) commit() bool {
	database := session.database
	if len(session.writes) == 0 {
		return true
	}
	entry := commit{term: database.term, items: session.writes}
	database.log = append(database.log, entry)
	database.applied = len(database.log)
	session.writes = nil
	return database.group.replicate(database, entry)
}
