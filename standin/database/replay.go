package database

import (
	"context"
	"database/sql/driver"
	"errors"
	"fmt"
	"time"
)

// replayRetry is the pause after a record could not be replayed.
const replayRetry = 100 * time.Millisecond

// replay applies received records after the lag that the switches state, until the context ends.
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

// replayDue returns how long the next record has to wait, and whether there is one that may be replayed.
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
	due := group.log[group.replayed].at.Add(time.Duration(state.LagMS) * time.Millisecond)
	return time.Until(due), true
}

func (server *Server) replayOne() error {
	server.group.apply.Lock()
	defer server.group.apply.Unlock()
	if server.group.status().Role != Replica {
		return nil
	}
	_, err := server.replayNext()
	return err
}

// replayNext applies the next record, or drops the files if they need to be rebuilt, and states whether there was
// anything to do; the group's apply lock is held.
func (server *Server) replayNext() (bool, error) {
	group := server.group
	group.mutex.Lock()
	rebuild, next := group.rebuild, held{}
	more := int(group.replayed) < len(group.log)
	if more {
		next = group.log[group.replayed]
	}
	group.mutex.Unlock()
	if rebuild {
		server.closeAppliers()
		if err := server.files.reset(); err != nil {
			return true, err
		}
		server.cutOrdinary()
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
	applier := server.appliers[record.Database]
	if applier == nil {
		opened, err := server.files.open(ctx, record.Database)
		if err != nil {
			return err
		}
		applier = opened
		server.appliers[record.Database] = applier
	}
	if _, err := applier.execute(ctx, "BEGIN IMMEDIATE", nil); err != nil {
		return err
	}
	for _, statement := range record.Statements {
		arguments := make([]driver.Value, len(statement.Arguments))
		for index, argument := range statement.Arguments {
			arguments[index] = argument.value()
		}
		if _, err := applier.execute(ctx, statement.SQL, arguments); err != nil {
			_, rollback := applier.execute(ctx, "ROLLBACK", nil)
			return errors.Join(err, rollback)
		}
	}
	_, err := applier.execute(ctx, "COMMIT", nil)
	return err
}

func (server *Server) closeAppliers() {
	for database, applier := range server.appliers {
		applier.close()
		delete(server.appliers, database)
	}
}
