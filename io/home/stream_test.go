package home

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
)

// A stream has ended, or has too much to write. Guards against a frame that leaves although its sender was told that it doesn't, so that a
// statement which is said not to be handed over runs.
func TestRefusedFramesDoNotLeave(t *testing.T) {
	local, remote := net.Pipe()
	sender, receiver := newStream(local), newStream(remote)
	receiver.maxReceived = maxFrame
	body := run{Text: strings.Repeat("x", maxFrame/4)}
	// The first frame is written until the receiver reads.
	go func() { _ = sender.send(kindRun, 0, body) }()
	eventually(t, "a write", func() bool { sender.mutex.Lock(); defer sender.mutex.Unlock(); return sender.writing })
	refused, accepted := make(map[linkID]error), 1
	for id := linkID(1); id <= 12; id++ {
		if err := sender.send(kindRun, id, body); err != nil {
			refused[id] = err
		} else {
			accepted++
		}
	}
	refused[13] = sender.send(kindRun, 13, run{Text: strings.Repeat("x", maxFrame)})
	for range accepted {
		_, id, _, err := receiver.receive()
		if err != nil || refused[id] != nil {
			t.Fatalf("frame %d was received, its sender was told %v; %v", id, refused[id], err)
		}
	}
	sender.close(errors.New("ended"))
	if err := sender.send(kindRun, 14, body); err == nil || !errors.Is(refused[12], errQueueBound) || !errors.Is(refused[13], errTooLong) {
		t.Errorf("told %v, %v and %v", refused[12], refused[13], err)
	}
	if _, id, _, err := receiver.receive(); err == nil {
		t.Errorf("frame %d was received after the accepted ones", id)
	}
}

// A statement is given up at its deadline, and its answer arrives late. Guards against the answer being taken for that of another statement
// on the link, and against that statement being handed over.
func TestLateAnswerReachesNoOtherStatement(t *testing.T) {
	client := startClient(t, nil)
	local, remote := net.Pipe()
	t.Cleanup(func() { _ = remote.Close() })
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	stream := newOutgoing("home")
	stream.stream = newStream(local)
	now := time.Now()
	link := &link{client: client, stream: stream, answer: make(chan result, 1), waitBy: now, answerBy: now}
	conn := dbpool.NewConn(testServer, "org1", link)
	if _, err := conn.Run(now, nil, dbpool.Call{ID: "q1", Kind: statement.Write, Text: "WRITE a 1"}); err == nil {
		t.Fatal("an answer without a home")
	}
	link.deliver(result{reply: statement.Reply{Signature: "of q1"}})
	reply, err := conn.Run(now, nil, dbpool.Call{ID: "q2", Kind: statement.Read, Text: "READ b"})
	if err == nil || client.handedOver.Count() > 1 {
		t.Errorf("q2 was answered with %+v, %d statements were handed over", reply, client.handedOver.Count())
	}
}
