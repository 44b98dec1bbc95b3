package database

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Server is a stand-in for one PostgreSQL server. Its methods may be called concurrently.
type Server struct {
	settings      Settings
	switches      *switches
	group         *group
	fileStore     *fileStore
	capture       *capture // nil without WithCapture
	memoryAnswers bool
	log           func(format string, arguments ...any)

	listener net.Listener
	ctx      context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup

	// writerLock is the server's single writer lock, held by a transaction from its first write to its end.
	writerLock chan struct{}
	// slots bounds the number of statements executed concurrently; nil means no bound.
	slots chan struct{}
	// replayHandles holds the SQLite connection used for replay by database; guarded by group.applyLock.
	replayHandles map[string]*handle
	// typeCache caches the column types of expressions by statement text.
	typeCache typeCache

	mutex          sync.Mutex
	sessions       map[uint32]*session // by process id
	connections    map[net.Conn]struct{}
	clientSessions int // sessions of users other than ControlUser
	processID      atomic.Uint32
	started        atomic.Bool
}

// New returns a server that listens but serves no connection until Run is called.
func New(settings Settings, options ...Option) (*Server, error) {
	if err := settings.setDefaults(); err != nil {
		return nil, err
	}
	store, err := newFileStore(settings.Directory)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen: %w", err), store.close())
	}
	server := &Server{
		settings: settings, switches: newSwitches(), group: newGroup(settings), fileStore: store, listener: listener,
		writerLock: make(chan struct{}, 1), replayHandles: map[string]*handle{},
		sessions: map[uint32]*session{}, connections: map[net.Conn]struct{}{},
	}
	if settings.Slots > 0 {
		server.slots = make(chan struct{}, settings.Slots)
	}
	server.ctx, server.stop = context.WithCancel(context.Background())
	for _, option := range options {
		option(server)
	}
	return server, nil
}

// Address returns the host and port that the server listens on.
func (server *Server) Address() string { return server.listener.Addr().String() }

// ID returns the server's id.
func (server *Server) ID() string { return string(server.settings.ID) }

// Status returns the row that group_status() returns.
func (server *Server) Status() Status {
	status := server.group.status()
	status.Leaving = server.switches.state().Leaving
	return status
}

// Records returns a copy of the log.
func (server *Server) Records() []Record {
	server.group.mutex.Lock()
	defer server.group.mutex.Unlock()
	records := make([]Record, len(server.group.log))
	for index, record := range server.group.log {
		records[index] = record.Record
	}
	return records
}

// Run serves connections until the context ends or Close is called; it returns nil in both cases.
func (server *Server) Run(ctx context.Context) error {
	if server.started.Swap(true) {
		return errors.New("the server is closed or already running")
	}
	defer context.AfterFunc(ctx, server.stop)()
	defer context.AfterFunc(server.ctx, func() { server.listener.Close() })()
	server.start(func() { server.replay(server.ctx) })
	server.start(func() { server.receive(server.ctx) })
	var failed error
	for {
		connection, err := server.listener.Accept()
		if err != nil {
			if server.ctx.Err() == nil {
				failed = fmt.Errorf("accept: %w", err)
			}
			break
		}
		server.start(func() { server.serve(connection) })
	}
	server.stop()
	server.closeConnections()
	server.running.Wait()
	server.closeReplayHandles()
	return errors.Join(failed, server.fileStore.close())
}

// Close stops the server; Run returns once every connection has ended and the files are removed.
func (server *Server) Close() {
	server.stop()
	if !server.started.Swap(true) {
		server.listener.Close()
		_ = server.fileStore.close()
	}
}

func (server *Server) start(task func()) {
	server.running.Add(1)
	go func() {
		defer server.running.Done()
		task()
	}()
}

func (server *Server) logf(format string, arguments ...any) {
	if server.log != nil {
		server.log("%s: "+format, append([]any{server.settings.ID}, arguments...)...)
	}
}

// waitUnblocked waits while a partition or freeze blocks a peer with any of the names; it fails if ctx ends first.
func (server *Server) waitUnblocked(ctx context.Context, names ...string) error {
	for {
		changed := server.switches.watch()
		state := server.switches.state()
		if !state.blocks(names...) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// closeConnections closes every connection.
func (server *Server) closeConnections() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for connection := range server.connections {
		connection.Close()
	}
	for _, session := range server.sessions {
		session.disconnect()
	}
}

// closeClientSessions closes the connections of all users but ControlUser.
func (server *Server) closeClientSessions() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, session := range server.sessions {
		if !session.control {
			session.disconnect()
		}
	}
}

// capture writes the bytes received from clients to a writer.
type capture struct {
	mutex  sync.Mutex
	writer io.Writer
}

type capturedReader struct {
	io.Reader
	capture *capture
}

// Read implements io.Reader.Read.
func (reader capturedReader) Read(buffer []byte) (int, error) {
	count, err := reader.Reader.Read(buffer)
	reader.capture.mutex.Lock()
	defer reader.capture.mutex.Unlock()
	if _, failed := reader.capture.writer.Write(buffer[:count]); failed != nil && err == nil {
		err = fmt.Errorf("capture: %w", failed)
	}
	return count, err
}
