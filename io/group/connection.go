package group

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
	"github.com/xdg-go/scram"

	"dotterelgw/core/failover"
	"dotterelgw/core/ids"
)

const (
	statusQuery     = "SELECT * FROM group_status()"
	statusStatement = "s"
	controlUser     = "dotterel_control"
	controlDatabase = "postgres"
)

// ServerError is an error reported by a backend server.
type ServerError struct {
	// SQLState is the five-character code; 55000 means that the server has promised a higher term.
	SQLState string
	// Message is the message text of the server.
	Message string
	// Status is the server's status if the detail of the error contains it.
	Status failover.Status
}

// Error implements error.Error.
func (err *ServerError) Error() string { return fmt.Sprintf("%s (%s)", err.Message, err.SQLState) }

// Login holds the credentials of this VM's control connections.
type Login struct {
	// User is the user name, dotterel_control by default.
	User string
	// Password is used if the server requests password authentication.
	Password string
	// VM is sent as application_name.
	VM ids.VMID
}

// connection is a control connection to one backend server; it is used by one goroutine at a time.
type connection struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
	// columns holds the column names of the last row description.
	columns []string
}

// connect opens a control connection and logs in, within the deadline of the context.
func (login Login) connect(ctx context.Context, dial dialFunc, address string) (*connection, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connect for control: %w", err)
	}
	connection := &connection{conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
	stop := connection.applyDeadline(ctx)
	defer stop()
	if err := login.authenticate(connection.frontend); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("log in for control: %w", err)
	}
	return connection, nil
}

// applyDeadline applies the context's deadline and cancellation to the connection until the returned function is called.
func (connection *connection) applyDeadline(ctx context.Context) func() {
	deadline, _ := ctx.Deadline()
	_ = connection.conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = connection.conn.SetDeadline(time.Unix(1, 0)) })
	return func() { stop() }
}

// authenticate sends the startup message and responds to authentication requests until the server is ready.
func (login Login) authenticate(frontend *pgproto3.Frontend) error {
	user := login.User
	if user == "" {
		user = controlUser
	}
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": user, "database": controlDatabase, "application_name": string(login.VM)},
	})
	var conversation *scram.ClientConversation
	for {
		if err := frontend.Flush(); err != nil {
			return fmt.Errorf("send: %w", err)
		}
		message, err := frontend.Receive()
		if err != nil {
			return fmt.Errorf("receive: %w", err)
		}
		switch message := message.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			frontend.Send(&pgproto3.PasswordMessage{Password: login.Password})
		case *pgproto3.AuthenticationSASL:
			client, err := scram.SHA256.NewClient(user, login.Password, "")
			if err != nil {
				return fmt.Errorf("scram: %w", err)
			}
			conversation = client.NewConversation()
			first, err := conversation.Step("")
			if err != nil {
				return fmt.Errorf("scram: %w", err)
			}
			frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(first)})
		case *pgproto3.AuthenticationSASLContinue:
			if conversation == nil {
				return fmt.Errorf("scram out of order: %w", errors.NotValid)
			}
			reply, err := conversation.Step(string(message.Data))
			if err != nil {
				return fmt.Errorf("scram: %w", err)
			}
			frontend.Send(&pgproto3.SASLResponse{Data: []byte(reply)})
		case *pgproto3.AuthenticationSASLFinal:
			if conversation == nil {
				return fmt.Errorf("scram out of order: %w", errors.NotValid)
			}
			if _, err := conversation.Step(string(message.Data)); err != nil {
				return fmt.Errorf("scram: %w", err)
			}
		case *pgproto3.ErrorResponse:
			return serverError(message)
		case *pgproto3.ReadyForQuery:
			return nil
		case *pgproto3.AuthenticationOk, *pgproto3.ParameterStatus, *pgproto3.BackendKeyData, *pgproto3.NoticeResponse:
		default:
			return fmt.Errorf("%T during login: %w", message, errors.NotValid)
		}
	}
}

// queryStatus requests the status row. The statement is prepared once per connection: repeating the query text and the
// row description would more than double the bytes, which are most of a watcher's traffic.
func (connection *connection) queryStatus(ctx context.Context) (failover.Status, error) {
	if connection.columns == nil {
		connection.frontend.Send(&pgproto3.Parse{Name: statusStatement, Query: statusQuery})
		connection.frontend.Send(&pgproto3.Describe{ObjectType: 'S', Name: statusStatement})
	}
	connection.frontend.Send(&pgproto3.Bind{PreparedStatement: statusStatement})
	connection.frontend.Send(&pgproto3.Execute{})
	connection.frontend.Send(&pgproto3.Sync{})
	return connection.roundTrip(ctx, statusQuery)
}

// call runs one group function and returns the status row.
func (connection *connection) call(ctx context.Context, query string) (failover.Status, error) {
	connection.frontend.Send(&pgproto3.Query{String: query})
	return connection.roundTrip(ctx, query)
}

// roundTrip flushes the buffered messages and reads the status row that the server answers with.
func (connection *connection) roundTrip(ctx context.Context, query string) (failover.Status, error) {
	stop := connection.applyDeadline(ctx)
	defer stop()
	if err := connection.frontend.Flush(); err != nil {
		return failover.Status{}, fmt.Errorf("send %s: %w", query, err)
	}
	var status *failover.Status
	var failure error
	for {
		message, err := connection.frontend.Receive()
		if err != nil {
			return failover.Status{}, fmt.Errorf("receive the answer to %s: %w", query, err)
		}
		switch message := message.(type) {
		case *pgproto3.RowDescription:
			connection.columns = connection.columns[:0]
			for _, field := range message.Fields {
				connection.columns = append(connection.columns, string(field.Name))
			}
		case *pgproto3.DataRow:
			parsed, err := parseStatus(connection.columns, message.Values)
			status, failure = &parsed, err
		case *pgproto3.ErrorResponse:
			failure = serverError(message)
		case *pgproto3.ReadyForQuery:
			if failure == nil && status == nil {
				failure = fmt.Errorf("no row in the answer to %s: %w", query, errors.NotValid)
			}
			if failure != nil {
				return failover.Status{}, failure
			}
			return *status, nil
		}
	}
}

func (connection *connection) close() {
	if connection != nil {
		_ = connection.conn.Close()
	}
}

func parseStatus(columns []string, values [][]byte) (failover.Status, error) {
	var status failover.Status
	for index, name := range columns {
		if index >= len(values) {
			return status, fmt.Errorf("status row without %s: %w", name, errors.NotValid)
		}
		value := string(values[index])
		var number uint64
		var err error
		switch name {
		case "server_id":
			status.Server = ids.BackendServerID(value)
		case "role":
			status.Primary = value == "primary"
		case "leaving":
			status.Leaving = value == "t" || value == "true"
		default:
			number, err = strconv.ParseUint(value, 10, 64)
		}
		if err != nil {
			return status, fmt.Errorf("status column %s: %w", name, err)
		}
		switch name {
		case "term":
			status.Term = ids.Term(number)
		case "promised_term":
			status.Promised = ids.Term(number)
		case "log_term":
			status.LogTerm = ids.Term(number)
		case "written":
			status.Written = ids.LogPosition(number)
		case "received":
			status.Received = ids.LogPosition(number)
		case "replayed":
			status.Replayed = ids.LogPosition(number)
		}
	}
	return status, nil
}

func serverError(response *pgproto3.ErrorResponse) error {
	failure := &ServerError{SQLState: response.Code, Message: response.Message}
	var detail struct {
		Server   ids.BackendServerID `json:"server_id"`
		Role     string              `json:"role"`
		Term     ids.Term            `json:"term"`
		Promised ids.Term            `json:"promised_term"`
		LogTerm  ids.Term            `json:"log_term"`
		Written  ids.LogPosition     `json:"written"`
		Received ids.LogPosition     `json:"received"`
		Replayed ids.LogPosition     `json:"replayed"`
		Leaving  bool                `json:"leaving"`
	}
	if json.Unmarshal([]byte(response.Detail), &detail) == nil {
		failure.Status = failover.Status{
			Server: detail.Server, Primary: detail.Role == "primary", Term: detail.Term, Promised: detail.Promised,
			LogTerm: detail.LogTerm, Written: detail.Written, Received: detail.Received, Replayed: detail.Replayed,
			Leaving: detail.Leaving,
		}
	}
	return failure
}
