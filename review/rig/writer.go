package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// clientTimeout bounds connecting and each answer.
	clientTimeout = 3 * time.Second
	// clientPause is the pause of a client between two statements.
	clientPause = 25 * time.Millisecond
)

// acknowledged holds the writes that clients saw succeed, with the time of the answer.
type acknowledged struct {
	mutex  sync.Mutex
	writes map[string]time.Time
	others map[string]int
	// attempts holds all requests.
	attempts []attempt
}

// writer is a client that sends single writes in one session after the other.
type writer struct {
	name   string
	vms    []*vm
	record *record
	acks   *acknowledged
	next   int
}

// run writes until the context ends.
func (writer *writer) run(ctx context.Context) {
	for ctx.Err() == nil {
		writer.session(ctx)
		time.Sleep(clientPause)
	}
}

// session opens a session on the next node and writes until an answer is missing.
func (writer *writer) session(ctx context.Context) {
	writer.next++
	address, _ := writer.vms[writer.next%len(writer.vms)].addresses()
	conn, err := net.DialTimeout("tcp", address, clientTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	lines := bufio.NewScanner(conn)
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := fmt.Fprintf(conn, "STARTUP bids k-one\r\n"); err != nil || !lines.Scan() || !strings.HasPrefix(lines.Text(), "READY") {
		return
	}
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%s%06x%04x", writer.name, writer.next, number)
		sent := time.Now()
		outcome := writer.write(conn, lines, id)
		writer.acks.add(id, sent, outcome)
		writer.record.note("write %s is answered with %s", id, outcome)
		if outcome == "no answer" {
			return
		}
		time.Sleep(clientPause)
	}
	_, _ = fmt.Fprintf(conn, "TERMINATE\r\n")
}

// write sends one write and returns COMPLETE, the code of the error, or "no answer".
func (writer *writer) write(conn net.Conn, lines *bufio.Scanner, id string) (outcome string) {
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := fmt.Fprintf(conn, "QUERY %s WRITE item%s v%s\r\n", id, writer.name, id); err != nil {
		return "no answer"
	}
	for lines.Scan() {
		word, rest, _ := strings.Cut(lines.Text(), " ")
		switch word {
		case "COMPLETE":
			outcome = word
		case "ERROR":
			outcome, _, _ = strings.Cut(rest, " ")
		case "READY":
			return outcome
		}
	}
	return "no answer"
}

// add records the outcome of a write.
func (acks *acknowledged) add(id string, sent time.Time, outcome string) {
	acks.mutex.Lock()
	defer acks.mutex.Unlock()
	if outcome == "COMPLETE" {
		acks.writes[id] = time.Now()
		acks.attempts = append(acks.attempts, attempt{sent: sent, served: 1})
		return
	}
	acks.attempts = append(acks.attempts, attempt{sent: sent})
	acks.others[outcome]++
}

// missing returns the writes that were acknowledged before the promotion and that the promoted database lacks.
func (acks *acknowledged) missing(promotion promotion) []string {
	acks.mutex.Lock()
	defer acks.mutex.Unlock()
	var missing []string
	for id, at := range acks.writes {
		if at.Before(promotion.at) && !promotion.log[id] {
			missing = append(missing, id)
		}
	}
	return missing
}
