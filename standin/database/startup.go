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

// serve handles one TCP connection until it ends.
func (server *Server) serve(connection net.Conn) {
	defer connection.Close()
	server.mutex.Lock()
	server.links[connection] = struct{}{}
	server.mutex.Unlock()
	defer func() {
		server.mutex.Lock()
		delete(server.links, connection)
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
	session.backend = pgproto3.NewBackend(reader, &session.outbox)
	session.ctx, session.stop = context.WithCancel(server.ctx)
	defer session.stop()
	if server.pause(session.ctx, session.names...) != nil {
		return
	}
	parameters, err := session.negotiate()
	if err != nil || parameters == nil {
		return
	}
	session.names = append(session.names, parameters["application_name"])
	if parameters["replication"] == replicationParameter {
		server.send(session)
		return
	}
	if server.pause(session.ctx, session.names...) != nil {
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
	defer session.end()
	if err := session.loop(); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		var refused *failure
		if errors.As(err, &refused) {
			refused.fatal = true
			session.backend.Send(refused.response())
			_ = session.flush()
		}
	}
}

// negotiate reads messages up to the start-up message; it returns nil after a cancel request.
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

// start authenticates and registers the session and sends what precedes the first ReadyForQuery.
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
		session.end()
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
		session.end()
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
	if err := session.push(); err != nil {
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

// register counts the session and makes it reachable for cancel requests.
func (session *session) register() error {
	server := session.server
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	session.secret = binary.BigEndian.Uint32(secret[:])
	session.processID = server.processID.Add(1)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if !session.control {
		if limit := server.settings.ConnectionLimit; limit > 0 && server.ordinary >= limit {
			return fail("53300", "sorry, too many clients already")
		}
		server.ordinary++
	}
	server.sessions[session.processID] = session
	return nil
}

// end rolls back and forgets the session.
func (session *session) end() {
	server := session.server
	session.rollback()
	session.closeHandle()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.sessions, session.processID)
	if !session.control {
		server.ordinary--
	}
}

// cancel interrupts the current statement of the session if the key is right.
func (server *Server) cancel(processID uint32, key []byte) {
	server.mutex.Lock()
	session := server.sessions[processID]
	server.mutex.Unlock()
	if session != nil && len(key) == 4 && binary.BigEndian.Uint32(key) == session.secret {
		session.interrupt()
	}
}

// startupOptions reads the -c name=value parts of the start-up parameter options.
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
