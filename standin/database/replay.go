package database

import (
	"context"
	"database/sql/driver"
	"errors"
	"fmt"
	"time"
)

// replayRetry is the delay before a record whose replay failed is tried again.
const replayRetry = 100 * time.Millisecond

// replay applies received records, delayed by the lag set in the switches, until the context ends.
func (server *Server) replay(ctx context.Context) {
	for ctx.Err() == nil {
		changed, switched := server.group.watch(), server.switches.watch()
		wait, ready := server.replayDue()
		if ready && wait <= 0 {
			if err := server.replayOne(); err != nil {
				server.logf("replay: %s", err)
				ready, wait = true, replayRetry
			} else {
				continue
			}
		}
		var timer <-chan time.Time
		if ready {
			timer = time.After(wait)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-switched:
		case <-timer:
		}
	}
}

// replayDue returns the delay before the next replay step, and whether there is a step that may be executed.
func (server *Server) replayDue() (time.Duration, bool) {
	state := server.switches.state()
	group := server.group
	group.mutex.Lock()
	defer group.mutex.Unlock()
	switch {
	case group.role != Replica || state.Frozen:
		return 0, false
	case group.rebuild:
		return 0, true
	case state.FrozenReplay || int(group.replayed) >= len(group.log):
		return 0, false
	}
	due := group.log[group.replayed].receivedAt.Add(time.Duration(state.LagMS) * time.Millisecond)
	return time.Until(due), true
}

func (server *Server) replayOne() error {
	server.group.applyLock.Lock()
	defer server.group.applyLock.Unlock()
	if server.group.status().Role != Replica {
		return nil
	}
	_, err := server.replayNext()
	return err
}

// replayNext applies the next record, or drops the files if they need to be rebuilt, and reports whether there was
// anything to do; the caller holds group.applyLock.
func (server *Server) replayNext() (bool, error) {
	group := server.group
	group.mutex.Lock()
	rebuild, next := group.rebuild, logEntry{}
	more := int(group.replayed) < len(group.log)
	if more {
		next = group.log[group.replayed]
	}
	group.mutex.Unlock()
	if rebuild {
		server.closeReplayHandles()
		if err := server.fileStore.reset(); err != nil {
			return true, err
		}
		server.closeClientSessions()
		group.mutex.Lock()
		group.rebuild = false
		group.mutex.Unlock()
		return true, nil
	}
	if !more {
		return false, nil
	}
	if err := server.applyRecord(next.Record); err != nil {
		return true, fmt.Errorf("record %d of term %d: %w", next.Position, next.Term, err)
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.replayed = next.Position
	group.notify()
	return true, nil
}

// applyRecord runs the statements of a record in one SQLite transaction.
func (server *Server) applyRecord(record Record) error {
	ctx := context.Background()
	handle := server.replayHandles[record.Database]
	if handle == nil {
		opened, err := server.fileStore.openHandle(ctx, record.Database)
		if err != nil {
			return err
		}
		handle = opened
		server.replayHandles[record.Database] = handle
	}
	if _, err := handle.execute(ctx, "BEGIN IMMEDIATE", nil); err != nil {
		return err
	}
	for _, statement := range record.Statements {
		arguments := make([]driver.Value, len(statement.Arguments))
		for index, argument := range statement.Arguments {
			arguments[index] = argument.value()
		}
		if _, err := handle.execute(ctx, statement.SQL, arguments); err != nil {
			_, rollback := handle.execute(ctx, "ROLLBACK", nil)
			return errors.Join(err, rollback)
		}
	}
	_, err := handle.execute(ctx, "COMMIT", nil)
	return err
}

func (server *Server) closeReplayHandles() {
	for database, handle := range server.replayHandles {
		handle.close()
		delete(server.replayHandles, database)
	}
}
