package proxy

import (
	"fmt"
	"strings"

	"dotterelgw/core/budget"
	"dotterelgw/core/refusal"
	"dotterelgw/core/statement"
)

const (
	// maxNames bounds the session values, and separately the prepared statements, of one session.
	maxNames = 256
	// nameOverhead is what an entry takes besides its texts, in bytes.
	nameOverhead = 128
)

// names holds the values and prepared statements of a session.
type names struct {
	values   map[string]string
	prepared map[string]statement.Prepared
	// size is the memory that the entries take.
	size budget.Bytes
}

// entryBytes returns the memory that an entry takes.
func entryBytes(name, text string) budget.Bytes {
	return budget.Bytes(len(name) + len(text) + nameOverhead)
}

// sizeWith returns the size after a SET or PREPARE.
func (names *names) sizeWith(stmt statement.Statement) budget.Bytes {
	if stmt.Kind == statement.Set {
		size := names.size + entryBytes(stmt.Name, stmt.Value)
		if value, known := names.values[stmt.Name]; known {
			size -= entryBytes(stmt.Name, value)
		}
		return size
	}
	size := names.size + entryBytes(stmt.Name, stmt.Prepared.Text)
	if prepared, known := names.prepared[stmt.Name]; known {
		size -= entryBytes(stmt.Name, prepared.Text)
	}
	return size
}

// set stores the entry of a SET or PREPARE. The texts are copied, since they are parts of a message that may be much longer.
func (names *names) set(stmt statement.Statement) {
	names.size = names.sizeWith(stmt)
	if stmt.Kind == statement.Set {
		names.values = with(names.values, stmt.Name, strings.Clone(stmt.Value))
		return
	}
	names.prepared = with(names.prepared, stmt.Name, statement.Prepared{Text: strings.Clone(stmt.Prepared.Text), Writes: stmt.Prepared.Writes})
}

// remove removes a prepared statement.
func (names *names) remove(name string) {
	if prepared, known := names.prepared[name]; known {
		names.size -= entryBytes(name, prepared.Text)
		delete(names.prepared, name)
	}
}

// count returns the number of entries of the kind of statement, and whether the statement's name is one of them.
func (names *names) count(stmt statement.Statement) (count int, known bool) {
	if stmt.Kind == statement.Set {
		_, known = names.values[stmt.Name]
		return len(names.values), known
	}
	_, known = names.prepared[stmt.Name]
	return len(names.prepared), known
}

// with sets a key of a map that may be nil and returns the map. A new key is copied.
func with[V any](entries map[string]V, key string, value V) map[string]V {
	if entries == nil {
		entries = make(map[string]V)
	}
	if _, known := entries[key]; !known {
		key = strings.Clone(key)
	}
	entries[key] = value
	return entries
}

// updateSession stores session values and prepared statements. Backend servers receive them when a statement needs them.
func (session *session) updateSession(request statement.Request) statement.Reply {
	stmt := request.Statement
	if stmt.Kind == statement.Deallocate {
		session.names.remove(stmt.Name)
		// Giving memory back does not fail.
		_ = session.keep(session.names.size)
		return statement.Reply{State: session.state}
	}
	if count, known := session.names.count(stmt); !known && count >= maxNames {
		return session.refuseSetUp(request, refuse(refusal.ProtocolError, 0, "too many session values or prepared statements"))
	}
	size := session.names.sizeWith(stmt)
	if size > session.server.MaxSessionBytes {
		note := fmt.Sprintf("session values and prepared statements of %d bytes, limit %d", size, session.server.MaxSessionBytes)
		return session.refuseSetUp(request, refuse(refusal.MessageTooLarge, 0, note))
	}
	if err := session.keep(size); err != nil {
		return session.refuseSetUp(request, refuse(refusal.MemoryShort, retrySoon, err.Error()))
	}
	session.names.set(stmt)
	return statement.Reply{State: session.state}
}

// refuseSetUp refuses a SET or PREPARE. What the caller has sent ahead relies on it and must not run: an open transaction fails, and outside
// of one the session ends.
func (session *session) refuseSetUp(request statement.Request, refused *refused) statement.Reply {
	if session.transaction != nil {
		session.failTransaction(refused.Reason)
	}
	session.ending = session.transaction == nil && session.caller.Pending()
	return session.refusalReply(request, refused, session.state)
}

// keep tells the caller's connection what the session keeps: its names, and the identifier of an open transaction's begin.
func (session *session) keep(names budget.Bytes) error {
	if session.transaction != nil {
		names += budget.Bytes(len(session.transaction.beginID))
	}
	if err := session.caller.Keep(names); err != nil {
		return fmt.Errorf("keeping the state of the session: %w", err)
	}
	return nil
}
