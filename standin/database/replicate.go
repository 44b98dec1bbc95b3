package database

import (
	"context"
	"encoding/gob"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"dotterelgw/core/ids"
)

// replicationParameter is the value of the start-up parameter "replication" that opens a replication connection.
const replicationParameter = "stand_in"

const (
	// receiveRetry is a replica's delay before it connects to its primary again.
	receiveRetry = 20 * time.Millisecond
	// dialTimeout bounds one attempt to connect to the primary.
	dialTimeout = time.Second
	// maxBatch is the maximum number of records in one replication message.
	maxBatch = 256
)

// greeting is the primary's first message on a replication connection. It is encoded with gob under its field names.
type greeting struct {
	Server ids.BackendServerID
	Role   Role
	Term   ids.Term
}

// request is the replica's reply to the greeting: the term that it follows and the runs of its log.
type request struct {
	Term ids.Term
	Runs []run
}

// batch carries records; From is the position that precedes the first one. The first batch may be empty.
type batch struct {
	From    ids.LogPosition
	Records []Record
}

// serveReplica streams records to a replica as they are committed, until the server is no longer the primary of the
// term that the replica follows.
func (server *Server) serveReplica(session *session) {
	ctx, connection := session.ctx, session.connection
	names := append([]string{"replication"}, session.names...)
	names = append(names, server.peerNames(session.names[len(session.names)-1])...)
	if server.waitUnblocked(ctx, names...) != nil {
		return
	}
	encoder, decoder := gob.NewEncoder(connection), gob.NewDecoder(connection)
	status := server.group.status()
	if encoder.Encode(greeting{Server: status.ServerID, Role: status.Role, Term: status.Term}) != nil {
		return
	}
	var wanted request
	if decoder.Decode(&wanted) != nil {
		return
	}
	// The replica sends nothing more, so a read that returns means that the connection is broken.
	go func() {
		_, _ = connection.Read(make([]byte, 1))
		session.stop()
	}()
	group := server.group
	group.mutex.Lock()
	next := commonPrefix(group.runsLocked(), wanted.Runs)
	group.mutex.Unlock()
	first := true
	for {
		if server.waitUnblocked(ctx, names...) != nil {
			return
		}
		group.mutex.Lock()
		changed := group.changed
		isPrimary := group.role == Primary && group.term == wanted.Term
		var records []Record
		if isPrimary {
			end := min(len(group.log), int(next)+maxBatch)
			for _, record := range group.log[next:end] {
				records = append(records, record.Record)
			}
		}
		group.mutex.Unlock()
		if !isPrimary {
			return
		}
		if first || len(records) > 0 {
			if encoder.Encode(batch{From: next, Records: records}) != nil {
				return
			}
			first = false
			next += ids.LogPosition(len(records))
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// receive keeps a replica connected to the primary that it follows, until the context ends.
func (server *Server) receive(ctx context.Context) {
	for ctx.Err() == nil {
		group := server.group
		group.mutex.Lock()
		changed, address, term := group.changed, group.primary, group.term
		active := group.role == Replica && group.promisedTerm <= term && address != ""
		group.mutex.Unlock()
		if !active {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if err := server.receiveFrom(ctx, address, term); err != nil && ctx.Err() == nil {
			server.logf("replication from %s: %s", address, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(receiveRetry):
		}
	}
}

// receiveFrom receives records from the primary of the term until the connection breaks or the replica follows another
// primary.
func (server *Server) receiveFrom(ctx context.Context, address string, term ids.Term) error {
	host, _, _ := net.SplitHostPort(address)
	names := append([]string{"replication", address, host}, server.peerNames(address)...)
	if err := server.waitUnblocked(ctx, names...); err != nil {
		return err
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(ctx, func() { connection.Close() })()
	defer connection.Close()
	go server.watchTerm(ctx, stop, address, term)

	startup := pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"replication": replicationParameter, "application_name": string(server.settings.ID), "user": ControlUser,
	}}
	message, err := startup.Encode(nil)
	if err != nil {
		return err
	}
	if _, err := connection.Write(message); err != nil {
		return err
	}
	decoder, encoder := gob.NewDecoder(connection), gob.NewEncoder(connection)
	var hello greeting
	if err := decoder.Decode(&hello); err != nil {
		return err
	}
	names = append(names, string(hello.Server))
	if hello.Role != Primary || hello.Term != term {
		return fail("55000", "%s is %s of term %d, not the primary of term %d", hello.Server, hello.Role, hello.Term, term)
	}
	server.group.mutex.Lock()
	runs := server.group.runsLocked()
	server.group.mutex.Unlock()
	if err := encoder.Encode(request{Term: term, Runs: runs}); err != nil {
		return err
	}
	for first := true; ; first = false {
		var records batch
		if err := decoder.Decode(&records); err != nil {
			return err
		}
		if err := server.waitUnblocked(ctx, names...); err != nil {
			return err
		}
		if first {
			if err := server.discardDivergent(term, records.From); err != nil {
				return err
			}
		}
		if err := server.group.appendRecords(term, records.Records); err != nil {
			return err
		}
	}
}

// discardDivergent drops the records of a replica after the position, which its primary does not have.
func (server *Server) discardDivergent(term ids.Term, position ids.LogPosition) error {
	group := server.group
	group.applyLock.Lock()
	defer group.applyLock.Unlock()
	group.mutex.Lock()
	if group.role != Replica || group.term != term || group.promisedTerm > term {
		group.mutex.Unlock()
		return fail("55000", "the server no longer follows term %d", term)
	}
	group.truncateLocked(position)
	rebuild := group.rebuild
	group.notify()
	group.mutex.Unlock()
	if rebuild {
		server.closeClientSessions()
	}
	return nil
}

// watchTerm stops a replication connection when the server is fenced, promoted or follows another primary.
func (server *Server) watchTerm(ctx context.Context, stop context.CancelFunc, address string, term ids.Term) {
	group := server.group
	for {
		group.mutex.Lock()
		changed := group.roleChanged
		stale := group.role != Replica || group.term != term || group.promisedTerm > term || group.primary != address
		group.mutex.Unlock()
		if stale {
			stop()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// peerNames returns the id and the address of the group's server with this id or address, nil if there is none.
func (server *Server) peerNames(name string) []string {
	for _, peer := range server.settings.Servers {
		if name == string(peer.ID) || name == peer.Address {
			return []string{string(peer.ID), peer.Address}
		}
	}
	return nil
}
