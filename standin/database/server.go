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

// Server is one stand-in server.
type Server struct {
	settings      Settings
	switches      *switches
	group         *group
	files         *files
	capture       *capture
	memoryAnswers bool
	log           func(format string, arguments ...any)

	listener net.Listener
	ctx      context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup

	// writer is the server's single writer lock, held by a transaction from its first write to its end.
	writer chan struct{}
	// slots bounds the statements executed at the same time; nil for no bound.
	slots chan struct{}
	// appliers holds the replay connection of each database; the group's apply lock guards it.
	appliers map[string]*handle
	// learned holds the column types of expressions by statement text.
	learned learned

	mutex     sync.Mutex
	sessions  map[uint32]*session
	links     map[net.Conn]struct{}
	ordinary  int
	processID atomic.Uint32
	started   atomic.Bool
}

// New returns a server that listens and answers no one until Run is called.
func New(settings Settings, options ...Option) (*Server, error) {
	if err := settings.fill(); err != nil {
		return nil, err
	}
	store, err := newFiles(settings.Directory)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen: %w", err), store.close())
	}
	server := &Server{
		settings: settings, switches: newSwitches(), group: newGroup(settings), files: store, listener: listener,
		writer: make(chan struct{}, 1), appliers: map[string]*handle{},
		sessions: map[uint32]*session{}, links: map[net.Conn]struct{}{},
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
	server.cutAll()
	server.running.Wait()
	server.closeAppliers()
	return errors.Join(failed, server.files.close())
}

// Close stops the server; Run returns once every connection has ended and the files are removed.
func (server *Server) Close() {
	server.stop()
	if !server.started.Swap(true) {
		server.listener.Close()
		_ = server.files.close()
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

// pause returns when no switch keeps a peer with these names from being served, or with an error when ctx ends.
func (server *Server) pause(ctx context.Context, names ...string) error {
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

// cutAll closes every connection.
func (server *Server) cutAll() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for connection := range server.links {
		connection.Close()
	}
	for _, session := range server.sessions {
		session.cut()
	}
}

// cutOrdinary closes the connections of all users but the control user.
func (server *Server) cutOrdinary() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, session := range server.sessions {
		if !session.control {
			session.cut()
		}
	}
}

// capture copies what clients send to a writer.
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
