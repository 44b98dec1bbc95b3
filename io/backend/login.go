package backend

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"dotterelgw/core/ids"
	"dotterelgw/core/statemachine"
	"dotterelgw/io/backend/wire"
)

// Login holds the credentials with which the proxy logs in to backend servers.
type Login struct {
	// User is the user name at the backend servers.
	User string
	// Password is the password of the proxy; it is never derived from a caller's key.
	Password string
	// VM is sent as application_name, which shows operators the VM that holds a connection.
	VM ids.VMID
}

// LoginError is an error with which a server refused the login.
type LoginError struct {
	// SQLState is the five-character code.
	SQLState string
	// Message is the message text of the server.
	Message string
}

// Error implements error.Error.
func (err *LoginError) Error() string {
	return fmt.Sprintf("login refused: %s (%s)", err.Message, err.SQLState)
}

// dial opens a connection and logs in.
func (login Login) dial(ctx context.Context, request Request) (*Conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", request.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", request.Server, err)
	}
	conn := &Conn{
		conn: raw, request: request, poolKey: request.poolKey(),
		reader: wire.NewReader(raw, maxResponseBytes), prepared: make(map[string]struct{}),
		machine: statemachine.NewMachine(connectionChart),
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		conn.raw, _ = tcp.SyscallConn()
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = raw.SetDeadline(deadline)
	}
	if err := login.authenticate(conn); err != nil {
		conn.fire(broken)
		return nil, fmt.Errorf("log in at %s: %w", request.Server, err)
	}
	_ = raw.SetDeadline(time.Time{})
	conn.fire(loggedIn)
	return conn, nil
}

// authenticate sends the startup message and responds to authentication requests until the server is ready.
func (login Login) authenticate(conn *Conn) error {
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user": login.User, "database": string(conn.poolKey.database),
			"application_name": string(login.VM), "client_encoding": "UTF8",
		},
	}
	if conn.request.ReadOnly {
		startup.Parameters["default_transaction_read_only"] = "on"
	}
	conn.pending = 1
	if err := conn.sendMessage(startup); err != nil {
		return err
	}
	var conversation *scram.ClientConversation
	for {
		frame, err := conn.Next(0)
		if err != nil {
			return err
		}
		switch frame.Type() {
		case wire.Authentication:
			if conversation, err = login.authenticateStep(conn, frame.Body(), conversation); err != nil {
				return err
			}
		case wire.BackendKeyData:
			var key pgproto3.BackendKeyData
			if err := key.Decode(frame.Body()); err != nil {
				return fmt.Errorf("key data: %w", err)
			}
			conn.processID, conn.secretKey = key.ProcessID, append([]byte(nil), key.SecretKey...)
		case wire.ErrorResponse:
			return &LoginError{SQLState: wire.ErrorField(frame, 'C'), Message: wire.ErrorField(frame, 'M')}
		case wire.ReadyForQuery:
			return nil
		case wire.ParameterStatus, wire.NoticeResponse, 'v':
		default:
			return fmt.Errorf("%q during login: %w", frame.Type(), ErrUnexpected)
		}
	}
}

// sendMessage encodes and sends a message for which no ReadyForQuery is expected.
func (conn *Conn) sendMessage(message pgproto3.FrontendMessage) error {
	encoded, err := message.Encode(nil)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	_, err = conn.Send(encoded, 0)
	return err
}

// authenticateStep responds to one authentication request and returns the SCRAM conversation, nil before its start.
func (login Login) authenticateStep(conn *Conn, body []byte, conversation *scram.ClientConversation) (*scram.ClientConversation, error) {
	if len(body) < 4 {
		return nil, fmt.Errorf("authentication request: %w", ErrUnexpected)
	}
	switch kind, data := body[3], string(body[4:]); kind {
	case pgproto3.AuthTypeOk:
		return conversation, nil
	case pgproto3.AuthTypeCleartextPassword:
		return nil, conn.sendMessage(&pgproto3.PasswordMessage{Password: login.Password})
	case pgproto3.AuthTypeSASL:
		client, err := scram.SHA256.NewClient(login.User, login.Password, "")
		if err != nil {
			return nil, fmt.Errorf("scram: %w", err)
		}
		conversation = client.NewConversation()
		first, err := conversation.Step("")
		if err != nil {
			return nil, fmt.Errorf("scram: %w", err)
		}
		return conversation, conn.sendMessage(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(first)})
	case pgproto3.AuthTypeSASLContinue, pgproto3.AuthTypeSASLFinal:
		if conversation == nil {
			return nil, fmt.Errorf("authentication out of order: %w", ErrUnexpected)
		}
		reply, err := conversation.Step(data)
		if err != nil {
			return nil, fmt.Errorf("scram: %w", err)
		}
		if kind == pgproto3.AuthTypeSASLFinal {
			return conversation, nil
		}
		return conversation, conn.sendMessage(&pgproto3.SASLResponse{Data: []byte(reply)})
	default:
		return nil, fmt.Errorf("authentication type %d: %w", kind, ErrUnexpected)
	}
}
