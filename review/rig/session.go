package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	// maxConns is the connection limit of a database.
	maxConns = 32
	// workTime is the time that a read or a write takes.
	workTime = 4 * time.Millisecond
)

// dbSession is one connection to a database.
type dbSession struct {
	database *database
	id       string
	state    string
	readOnly bool
	prepared map[string]string
	// writes holds the identifiers of the writes of the open transaction.
	writes []string
}

// accept serves connections until the listener is closed.
func (database *database) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go database.serve(conn)
	}
}

// open registers a connection and returns the code of the refusal, or an empty string.
func (database *database) open(conn net.Conn, words []string) (code string) {
	database.group.mutex.Lock()
	defer database.group.mutex.Unlock()
	switch {
	case len(words) < 3 || words[0] != "STARTUP" || words[1] != database.group.name || len(words) > 3 && words[3] != database.id:
		return "MISROUTED"
	case len(database.conns) >= maxConns:
		return "TOOMANY"
	case !database.up:
		_ = conn.Close()
	}
	database.conns[conn] = true
	return ""
}

// serve handles one connection.
func (database *database) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	lines := bufio.NewScanner(conn)
	if !lines.Scan() {
		return
	}
	if code := database.open(conn, strings.Fields(lines.Text())); code != "" {
		_, _ = fmt.Fprintf(conn, "ERROR %s %s\r\n", code, database.id)
		return
	}
	defer func() {
		database.group.mutex.Lock()
		defer database.group.mutex.Unlock()
		delete(database.conns, conn)
	}()
	session := &dbSession{database: database, id: database.id, state: "I", prepared: make(map[string]string)}
	_, _ = fmt.Fprintf(conn, "READY I %s\r\n", session.position())
	for lines.Scan() {
		word, rest, _ := strings.Cut(lines.Text(), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		body, answered := session.run(id, text)
		if !answered {
			return
		}
		if _, err := fmt.Fprintf(conn, "%sREADY %s %s\r\n", body, session.state, session.position()); err != nil {
			return
		}
	}
}

// position returns the position of the database's log.
func (session *dbSession) position() string {
	session.database.group.mutex.Lock()
	defer session.database.group.mutex.Unlock()
	return session.database.position()
}

// position returns the position of the log. The mutex is held.
func (database *database) position() string {
	return fmt.Sprintf("%d.%d", database.term, len(database.log))
}

// fail returns the answer with an error code; an open transaction has failed.
func (session *dbSession) fail(code string) (string, bool) {
	if session.state == "T" {
		session.state = "E"
	}
	return "ERROR " + code + " " + session.id + "\r\n", true
}

// reached reports whether the log holds the position TERM.NUMBER.
func (session *dbSession) reached(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	wantedTerm, _ := strconv.Atoi(term)
	wanted, _ := strconv.Atoi(number)
	database := session.database
	database.group.mutex.Lock()
	defer database.group.mutex.Unlock()
	return database.term > wantedTerm || database.term == wantedTerm && len(database.log) >= wanted
}

// run executes a statement. It returns false if the connection breaks without an answer.
func (session *dbSession) run(id, text string) (body string, answered bool) {
	words := strings.Fields(text)
	if words[0] == "AFTER" {
		if !session.reached(words[1]) {
			return session.fail("LAGGING")
		}
		words = words[2:]
	}
	const complete = "COMPLETE -\r\n"
	switch words[0] {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return session.control(words) + complete, true
	case "SET":
		return complete, true
	case "PREPARE":
		session.prepared[words[1]] = words[2]
		return complete, true
	case "RESET":
		session.prepared = make(map[string]string)
		return complete, true
	case "ROLLBACK":
		session.state, session.writes = "I", nil
		return complete, true
	case "BEGIN":
		session.readOnly = len(words) > 1
		if !session.readOnly && !session.leads() {
			return session.fail("READONLY")
		}
		session.state = "T"
		return complete, true
	}
	return session.work(id, words)
}

// leads reports whether the database is a primary.
func (session *dbSession) leads() bool {
	session.database.group.mutex.Lock()
	defer session.database.group.mutex.Unlock()
	return session.database.primary
}

// work executes a read, a write or a commit.
func (session *dbSession) work(id string, words []string) (body string, answered bool) {
	time.Sleep(workTime)
	access := words[0]
	if access == "EXECUTE" {
		shape, known := session.prepared[words[1]]
		if !known {
			return session.fail("NOSTMT")
		}
		access = shape
	}
	plain := access == "WRITE" || session.state == "T" && !session.readOnly
	if plain && !session.leads() && (access != "COMMIT" || len(session.writes) > 0) {
		return session.fail("READONLY")
	}
	signed := fmt.Sprintf("COMPLETE %s.%s\r\n", session.id, id)
	switch {
	case access == "READ":
		return "ROW x\r\n" + signed, true
	case access == "WRITE" && session.state == "T":
		session.writes = append(session.writes, id)
		return signed, true
	case access == "WRITE":
		return signed, session.commit(id)
	}
	session.state = "I"
	writes := session.writes
	session.writes = nil
	return signed, len(writes) == 0 || session.commit(writes...)
}

// commit appends the writes to the log and waits for a replica. It returns false if the database ends or loses the lead before.
func (session *dbSession) commit(ids ...string) bool {
	database, group := session.database, session.database.group
	time.Sleep(replicationTime)
	group.mutex.Lock()
	defer group.mutex.Unlock()
	term := database.term
	for _, id := range ids {
		database.log = append(database.log, commit{id: id, at: time.Now()})
		group.executed[id]++
		group.record.note("write %s is committed by %s as %s", id, session.id, database.position())
	}
	group.settle()
	for {
		switch {
		case !database.up || database.id != session.id || !database.primary || database.term != term:
			return false
		case group.received(database):
			group.settle()
			return true
		}
		changed := group.changed
		group.mutex.Unlock()
		<-changed
		group.mutex.Lock()
	}
}

// control executes a control statement and returns the status row.
func (session *dbSession) control(words []string) string {
	database, group := session.database, session.database.group
	term := 0
	if len(words) > 1 {
		term, _ = strconv.Atoi(words[1])
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if words[0] != "STATUS" {
		group.record.note("%s is sent to %s", strings.Join(words, " "), session.id)
	}
	switch {
	case words[0] == "PAUSE" && !database.primary && term > database.term:
		database.paused = term
	case words[0] == "RESUME":
		database.paused = 0
		group.settle()
	case words[0] == "STEPDOWN" && database.primary && term > database.term:
		database.primary = false
		group.wake()
	}
	role := "replica"
	if database.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\n", role, database.term, database.position(), database.paused, len(database.conns))
}
