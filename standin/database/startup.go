package database

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"maps"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// serve handles one TCP connection, of a client or a replica, until it ends.
func (server *Server) serve(connection net.Conn) {
	defer connection.Close()
	server.mutex.Lock()
	server.connections[connection] = struct{}{}
	server.mutex.Unlock()
	defer func() {
		server.mutex.Lock()
		delete(server.connections, connection)
		server.mutex.Unlock()
	}()
	if server.ctx.Err() != nil {
		return
	}
	var reader io.Reader = connection
	if server.capture != nil {
		reader = capturedReader{Reader: connection, capture: server.capture}
	}
	address := connection.RemoteAddr().String()
	host, _, _ := net.SplitHostPort(address)
	session := &session{
		server: server, connection: connection, names: []string{address, host},
		statements: map[string]*prepared{}, portals: map[string]*portal{},
	}
	session.backend = pgproto3.NewBackend(reader, &session.output)
	session.ctx, session.stop = context.WithCancel(server.ctx)
	defer session.stop()
	if server.waitUnblocked(session.ctx, session.names...) != nil {
		return
	}
	parameters, err := session.negotiate()
	if err != nil || parameters == nil {
		return
	}
	session.names = append(session.names, parameters["application_name"])
	if parameters["replication"] == replicationParameter {
		server.serveReplica(session)
		return
	}
	if server.waitUnblocked(session.ctx, session.names...) != nil {
		return
	}
	if err := session.start(parameters); err != nil {
		var refused *failure
		if errors.As(err, &refused) {
			refused.fatal = true
			session.backend.Send(refused.response())
			_ = session.flush()
		}
		return
	}
	defer session.teardown()
	if err := session.loop(); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		var refused *failure
		if errors.As(err, &refused) {
			refused.fatal = true
			session.backend.Send(refused.response())
			_ = session.flush()
		}
	}
}

// negotiate reads messages up to the start-up message and returns its parameters, or nil after a cancel request.
func (session *session) negotiate() (map[string]string, error) {
	for {
		message, err := session.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch message := message.(type) {
		case *pgproto3.StartupMessage:
			return maps.Clone(message.Parameters), nil
		case *pgproto3.CancelRequest:
			session.server.cancel(message.ProcessID, message.SecretKey)
			return nil, nil
		default: // TLS and GSS encryption are refused
			if _, err := session.connection.Write([]byte("N")); err != nil {
				return nil, err
			}
		}
	}
}

// start authenticates and registers the session and sends the start-up messages up to the first ReadyForQuery.
func (session *session) start(parameters map[string]string) error {
	server := session.server
	session.user = parameters["user"]
	session.control = session.user == ControlUser
	session.database = parameters["database"]
	if session.database == "" {
		session.database = session.user
	}
	session.variables = newVariables(parameters)
	if server.switches.state().RejectConnections {
		return fail("57P03", "the database system is not accepting connections")
	}
	if err := session.authenticate(); err != nil {
		return err
	}
	if err := session.register(); err != nil {
		return err
	}
	if err := session.connectDelay(); err != nil {
		session.teardown()
		return err
	}
	session.backend.Send(&pgproto3.AuthenticationOk{})
	for _, name := range reportedVariables {
		session.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: session.variables.get(name)})
	}
	key := binary.BigEndian.AppendUint32(nil, session.secret)
	session.backend.Send(&pgproto3.BackendKeyData{ProcessID: session.processID, SecretKey: key})
	session.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := session.flush(); err != nil {
		session.teardown()
		return err
	}
	return nil
}

func (session *session) connectDelay() error {
	if session.server.settings.ConnectTime <= 0 {
		return nil
	}
	select {
	case <-time.After(session.server.settings.ConnectTime):
		return nil
	case <-session.ctx.Done():
		return session.ctx.Err()
	}
}

func (session *session) authenticate() error {
	if session.server.settings.Password == "" {
		return nil
	}
	session.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := session.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return err
	}
	if err := session.flushDirect(); err != nil {
		return err
	}
	message, err := session.backend.Receive()
	if err != nil {
		return err
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	if !ok {
		return fail("08P01", "expected a password")
	}
	if password.Password != session.server.settings.Password {
		return fail("28P01", "password authentication failed for user %q", session.user)
	}
	return nil
}

// register adds the session to the server's sessions, where cancel requests find it; client sessions count towards the
// connection limit.
func (session *session) register() error {
	server := session.server
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	session.secret = binary.BigEndian.Uint32(secret[:])
	session.processID = server.processID.Add(1)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if !session.control {
		if limit := server.settings.ConnectionLimit; limit > 0 && server.clientSessions >= limit {
			return fail("53300", "sorry, too many clients already")
		}
		server.clientSessions++
	}
	server.sessions[session.processID] = session
	return nil
}

// teardown rolls the session back and removes it from the server's sessions.
func (session *session) teardown() {
	server := session.server
	session.rollback()
	session.closeHandle()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.sessions, session.processID)
	if !session.control {
		server.clientSessions--
	}
}

// cancel cancels the current statement of the session if the key matches.
func (server *Server) cancel(processID uint32, key []byte) {
	server.mutex.Lock()
	session := server.sessions[processID]
	server.mutex.Unlock()
	if session != nil && len(key) == 4 && binary.BigEndian.Uint32(key) == session.secret {
		session.cancelStatement()
	}
}

// startupOptions returns the settings in the start-up parameter "options", given as -c name=value or --name=value.
func startupOptions(options string) map[string]string {
	list := map[string]string{}
	fields := strings.Fields(options)
	for index := 0; index < len(fields); index++ {
		field := fields[index]
		switch {
		case field == "-c" && index+1 < len(fields):
			index++
			field = fields[index]
		case strings.HasPrefix(field, "--"):
			field = field[2:]
		case strings.HasPrefix(field, "-c"):
			field = field[2:]
		default:
			continue
		}
		if name, value, ok := strings.Cut(field, "="); ok {
			list[strings.ToLower(name)] = value
		}
	}
	return list
}
