package database

import (
	"fmt"
	"io"
	"time"

	"dotterelgw/core/ids"
)

// ControlUser is the user whose connections do not count towards the connection limit.
const ControlUser = "dotterel_control"

// Role is the role of a server in its group.
type Role string

// The roles of a server.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Peer is another server of the group.
type Peer struct {
	// ID names the server.
	ID ids.BackendServerID
	// Address is the server's host and port.
	Address string
}

// Settings configures one server; the zero value of each field selects its default.
type Settings struct {
	// ID names the server; "db" by default.
	ID ids.BackendServerID
	// Listen is the address to listen on; a free port of 127.0.0.1 by default.
	Listen string
	// Servers lists the servers of the group; partitions may name them by id.
	Servers []Peer
	// Role is the initial role; Primary by default.
	Role Role
	// Term is the initial term; 1 by default.
	Term ids.Term
	// Primary is the id (from Servers) or the address of the primary that a replica follows initially.
	Primary string
	// Password is requested in clear text unless it is empty; replication and cancel requests need none.
	Password string
	// ConnectionLimit is the maximum number of connections of users other than ControlUser; 0 means no limit.
	ConnectionLimit int
	// Slots is the maximum number of statements executed concurrently; 0 means no limit.
	Slots int
	// ConnectTime is the delay before a session is ready after authentication; 0 means 12 ms, negative none.
	ConnectTime time.Duration
	// ServiceTime is a delay added to each statement while it holds a slot.
	ServiceTime time.Duration
	// Directory is the directory for the SQLite files; by default a temporary one that is removed when the server stops.
	Directory string
}

// defaultConnectTime is the connect time of the platform's databases according to section 1.4 of the design.
const defaultConnectTime = 12 * time.Millisecond

func (settings *Settings) setDefaults() error {
	if settings.ID == "" {
		settings.ID = "db"
	}
	if settings.Listen == "" {
		settings.Listen = "127.0.0.1:0"
	}
	if settings.Role == "" {
		settings.Role = Primary
	}
	if settings.Role != Primary && settings.Role != Replica {
		return fmt.Errorf("unknown role %q", settings.Role)
	}
	if settings.Term == 0 {
		settings.Term = 1
	}
	if settings.ConnectTime == 0 {
		settings.ConnectTime = defaultConnectTime
	}
	for _, peer := range settings.Servers {
		if string(peer.ID) == settings.Primary {
			settings.Primary = peer.Address
		}
	}
	return nil
}

// Option configures a server.
type Option func(*Server)

// WithCapture writes all bytes received from clients to the writer, in order of arrival.
func WithCapture(writer io.Writer) Option {
	return func(server *Server) { server.capture = &capture{writer: writer} }
}

// WithMemoryAnswers answers SELECT 1 from memory, for benchmarks of a proxy in front of the server.
func WithMemoryAnswers() Option {
	return func(server *Server) { server.memoryAnswers = true }
}

// WithLog logs one line for each change of role and each replication error.
func WithLog(log func(format string, arguments ...any)) Option {
	return func(server *Server) { server.log = log }
}
