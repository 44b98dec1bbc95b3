package database

import (
	"context"
	"database/sql/driver"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"modernc.org/sqlite"
)

// maxCachedStatements bounds the number of prepared statements that one SQLite connection keeps.
const maxCachedStatements = 256

// connectionOptions makes SQLite skip fsync because the files need not survive the process, keep its page cache small
// because each client connection has one, and wait up to 5 s for locks, which are only held briefly.
const connectionOptions = "?_pragma=busy_timeout(5000)&_pragma=synchronous(OFF)&_pragma=cache_size(-512)&_dqs=0"

// fileStore holds the SQLite files of one server, one per database name.
type fileStore struct {
	root      string
	temporary bool

	mutex      sync.Mutex
	generation int
	// keepOpen holds one open connection per file: closing the last one makes SQLite checkpoint and lock the file.
	keepOpen map[string]*handle
}

func newFileStore(directory string) (*fileStore, error) {
	store := &fileStore{root: directory, keepOpen: map[string]*handle{}}
	if directory == "" {
		temporary, err := os.MkdirTemp("", "dotterel-standin-")
		if err != nil {
			return nil, fmt.Errorf("create directory: %w", err)
		}
		store.root, store.temporary = temporary, true
	}
	return store, nil
}

// currentGeneration returns the generation of the files; handles of older generations are stale.
func (store *fileStore) currentGeneration() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.generation
}

// openHandle returns a new connection to the database and creates the database if it does not exist.
func (store *fileStore) openHandle(ctx context.Context, database string) (*handle, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	path := filepath.Join(store.root, fmt.Sprint(store.generation), hex.EncodeToString([]byte(database))+".db")
	if store.keepOpen[database] == nil {
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			return nil, fmt.Errorf("create directory: %w", err)
		}
		anchor, err := newHandle(path, store.generation)
		if err != nil {
			return nil, err
		}
		if _, err := anchor.query(ctx, "PRAGMA journal_mode=WAL", nil); err != nil {
			anchor.close()
			return nil, fmt.Errorf("select journal mode: %w", err)
		}
		store.keepOpen[database] = anchor
	}
	return newHandle(path, store.generation)
}

// reset removes all files and starts a new generation.
func (store *fileStore) reset() error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	old := filepath.Join(store.root, fmt.Sprint(store.generation))
	for _, anchor := range store.keepOpen {
		anchor.close()
	}
	store.keepOpen = map[string]*handle{}
	store.generation++
	if err := os.RemoveAll(old); err != nil {
		return fmt.Errorf("remove files: %w", err)
	}
	return nil
}

func (store *fileStore) close() error {
	err := store.reset()
	if store.temporary {
		err = errors.Join(err, os.RemoveAll(store.root))
	}
	return err
}

// handle is one SQLite connection with its prepared statements. It is not safe for concurrent use.
type handle struct {
	connection driver.Conn
	generation int
	statements map[string]driver.Stmt
}

func newHandle(path string, generation int) (*handle, error) {
	lite := &sqlite.Driver{}
	connection, err := lite.Open("file:" + path + connectionOptions)
	if err != nil {
		return nil, fmt.Errorf("open database: %w", err)
	}
	return &handle{connection: connection, generation: generation, statements: map[string]driver.Stmt{}}, nil
}

// prepare returns the cached prepared statement for the text, or prepares it.
func (handle *handle) prepare(sql string) (driver.Stmt, error) {
	if prepared, ok := handle.statements[sql]; ok {
		return prepared, nil
	}
	prepared, err := handle.connection.Prepare(sql)
	if err != nil {
		return nil, err
	}
	if len(handle.statements) >= maxCachedStatements {
		for text, other := range handle.statements {
			other.Close()
			delete(handle.statements, text)
			break
		}
	}
	handle.statements[sql] = prepared
	return prepared, nil
}

func named(arguments []driver.Value) []driver.NamedValue {
	list := make([]driver.NamedValue, len(arguments))
	for index, argument := range arguments {
		list[index] = driver.NamedValue{Ordinal: index + 1, Value: argument}
	}
	return list
}

// query executes a statement and collects its rows; columns without a declared type have OID 0.
func (handle *handle) query(ctx context.Context, sql string, arguments []driver.Value) (*result, error) {
	prepared, err := handle.prepare(sql)
	if err != nil {
		return nil, err
	}
	rows, err := prepared.(driver.StmtQueryContext).QueryContext(ctx, named(arguments))
	if err != nil {
		return nil, err
	}
	names := rows.Columns()
	answer := &result{hasRows: len(names) > 0, columns: make([]column, len(names))}
	types, _ := rows.(driver.RowsColumnTypeDatabaseTypeName)
	for index, name := range names {
		answer.columns[index] = column{name: name, oid: declaredOID(types.ColumnTypeDatabaseTypeName(index))}
	}
	for err == nil {
		if err = ctx.Err(); err != nil {
			break
		}
		row := make([]driver.Value, len(names))
		if err = rows.Next(row); err == nil {
			answer.rows = append(answer.rows, row)
		}
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return answer, errors.Join(err, rows.Close())
}

// execute executes a statement that returns no rows and returns the number of changed rows.
func (handle *handle) execute(ctx context.Context, sql string, arguments []driver.Value) (int64, error) {
	prepared, err := handle.prepare(sql)
	if err != nil {
		return 0, err
	}
	done, err := prepared.(driver.StmtExecContext).ExecContext(ctx, named(arguments))
	if err != nil {
		return 0, err
	}
	return done.RowsAffected()
}

// describe returns the columns of a statement without executing it.
func (handle *handle) describe(sql string) ([]column, error) {
	list, err := handle.connection.(interface {
		ColumnInfo(query string) ([]sqlite.ColumnInfo, error)
	}).ColumnInfo(sql)
	if err != nil {
		return nil, err
	}
	columns := make([]column, len(list))
	for index, info := range list {
		columns[index] = column{name: info.Name, oid: declaredOID(info.DeclType)}
	}
	return columns, nil
}

func (handle *handle) close() {
	for _, prepared := range handle.statements {
		prepared.Close()
	}
	handle.connection.Close()
}
