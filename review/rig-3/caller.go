package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// answerTimeout bounds the wait of a caller for an answer; it is longer than the time-outs of the routes.
const answerTimeout = 4 * time.Second

var errRefused = errors.New("refused")

// caller is a session of a client.
type caller struct {
	conn     net.Conn
	reader   *bufio.Reader
	recorder *recorder
	name     string
}

// connect opens a session at a node.
func connect(node *node, database, key, name string, recorder *recorder) (*caller, error) {
	conn, err := net.DialTimeout("tcp", node.callerAddress, answerTimeout)
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", node.name, err)
	}
	caller := &caller{conn: conn, reader: bufio.NewReader(conn), recorder: recorder, name: name}
	if _, _, err := caller.exchange("STARTUP " + database + " " + key); err != nil {
		caller.close()
		return nil, err
	}
	return caller, nil
}

func (caller *caller) close() { _ = caller.conn.Close() }

// exchange sends a line and reads the answer up to READY; it returns the rows and the state.
func (caller *caller) exchange(line string) (rows []string, state string, err error) {
	_ = caller.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := caller.conn.Write([]byte(line + "\r\n")); err != nil {
		return nil, "", fmt.Errorf("sending: %w", err)
	}
	var failure error
	for {
		answer, err := readLine(caller.reader)
		if err != nil {
			return nil, "", errors.Join(failure, err)
		}
		word, rest, _ := strings.Cut(answer, " ")
		switch word {
		case "ROW":
			rows = append(rows, rest)
		case "ERROR":
			failure = fmt.Errorf("%w: %s", errRefused, rest)
		case "READY":
			state, _, _ = strings.Cut(rest, " ")
			return rows, state, failure
		}
	}
}

// query sends a statement with a new id and returns the id and the rows.
func (caller *caller) query(text string) (id string, rows []string, err error) {
	id = newID()
	caller.recorder.notef("%s sends %s: %s", caller.name, id, text)
	rows, state, err := caller.exchange("QUERY " + id + " " + text)
	caller.recorder.notef("%s got %s: rows %v state %q error %v", caller.name, id, rows, state, err)
	return id, rows, err
}

func newID() string {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}
