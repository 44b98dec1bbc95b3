package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// answerTimeout bounds the wait of a client for an answer.
const answerTimeout = 5 * time.Second

// maxKeptRows is the number of rows of an answer that a client keeps.
const maxKeptRows = 4

// client is one session of a client.
type client struct {
	name   string
	record *record
	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

// reply is the answer to a request.
type reply struct {
	id     string
	rows   []string
	result string
	state  string
}

// ok reports whether the request succeeded.
func (reply reply) ok() bool { return strings.HasPrefix(reply.result, "COMPLETE ") }

var errRefused = errors.New("the session was refused")

// connect opens a session.
func connect(record *record, name, address, host, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", address, err)
	}
	client := &client{name: name, record: record, conn: conn, reader: bufio.NewReaderSize(conn, maxMessage)}
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	_, _ = fmt.Fprintf(conn, "STARTUP %s %s\r\n", host, key)
	line, err := readLine(client.reader)
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("%s: %w", line, errRefused)
	}
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("opening a session: %w", err)
	}
	record.line("client %s opens a session at %s for %s with key %s", name, address, host, key)
	return client, nil
}

// ask sends a request and returns its answer.
func (client *client) ask(text string) (reply, error) {
	client.sent++
	answer := reply{id: fmt.Sprintf("%s-%d", client.name, client.sent)}
	client.record.line("client %s sends %s %q", client.name, answer.id, text)
	_ = client.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(client.conn, "QUERY %s %s\r\n", answer.id, text); err != nil {
		return answer, fmt.Errorf("sending a request: %w", err)
	}
	for {
		line, err := readLine(client.reader)
		if err != nil {
			client.record.line("client %s gets no answer to %s: %v", client.name, answer.id, err)
			return answer, fmt.Errorf("reading an answer: %w", err)
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			if len(answer.rows) < maxKeptRows {
				answer.rows = append(answer.rows, rest)
			}
		case "READY":
			answer.state, _, _ = strings.Cut(rest, " ")
			client.record.line("client %s is answered %s: %s, rows %v, state %s", client.name, answer.id, answer.result, answer.rows, answer.state)
			return answer, nil
		default:
			answer.result = line
		}
	}
}

func (client *client) close() { _ = client.conn.Close() }
