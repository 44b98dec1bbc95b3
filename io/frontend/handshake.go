package frontend

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	stderrors "errors"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"dotterelgw/core/ids"
	"dotterelgw/core/refusal"
	"dotterelgw/io/backend/wire"
	"dotterelgw/io/session"
)

const (
	// maxNegotiations bounds the encryption requests before the start-up packet: one for GSS, one for TLS.
	maxNegotiations = 2
	// maxAuthenticationBytes bounds the size of an authentication message.
	maxAuthenticationBytes = 8192
	// serverVersion is the PostgreSQL version whose protocol behaviour callers can rely on.
	serverVersion = "16.0"
)

// reportedParameters are the settings that drivers rely on, in the order in which they are sent as ParameterStatus.
var reportedParameters = [][2]string{
	{"server_version", serverVersion},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"application_name", ""},
	{"is_superuser", "off"},
	{"DateStyle", "ISO, MDY"},
	{"IntervalStyle", "postgres"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"in_hot_standby", "off"},
}

// handshake runs the start-up of one connection.
type handshake struct {
	frontend  *Frontend
	conn      net.Conn
	caller    session.Caller
	encrypted bool
}

// run runs the start-up and returns the session, or nil after a cancel request.
func (handshake *handshake) run() (*session.Session, error) {
	for range maxNegotiations + 1 {
		code, body, err := readPacket(handshake.conn)
		if err != nil {
			if stderrors.Is(err, errMalformed) {
				handshake.refuse(refusal.New(refusal.ProtocolError, err.Error()))
			}
			return nil, err
		}
		switch {
		case code == codeSSL:
			err = handshake.startTLS()
		case code == codeGSS:
			_, err = handshake.conn.Write([]byte{'N'})
		case code == codeCancel:
			handshake.cancelStatement(body)
			return nil, nil
		case code>>16 == protocolMajor:
			return handshake.authenticateAndOpen(code, body)
		default:
			refused := refusal.New(refusal.ProtocolError, fmt.Sprintf("protocol version %d.%d", code>>16, code&0xffff))
			handshake.refuse(refused)
			return nil, refused
		}
		if err != nil {
			return nil, fmt.Errorf("negotiate encryption: %w", err)
		}
	}
	refused := refusal.New(refusal.ProtocolError, "too many requests for encryption")
	handshake.refuse(refused)
	return nil, refused
}

// startTLS answers an SSLRequest and runs the TLS handshake if TLS is offered and the connection does not use it yet.
func (handshake *handshake) startTLS() error {
	if handshake.frontend.TLS == nil || handshake.encrypted {
		_, err := handshake.conn.Write([]byte{'N'})
		return err
	}
	if _, err := handshake.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	tlsConn := tls.Server(handshake.conn, handshake.frontend.TLS)
	if err := tlsConn.Handshake(); err != nil {
		return err
	}
	handshake.conn, handshake.encrypted = tlsConn, true
	return nil
}

// cancelStatement handles a cancel request and forwards it if the session is not on this VM. As in PostgreSQL, the caller is
// not told whether it had an effect.
func (handshake *handshake) cancelStatement(body []byte) {
	if len(body) < 4 {
		return
	}
	processID, secret := binary.BigEndian.Uint32(body), body[4:]
	if handshake.frontend.Sessions.Cancel(processID, secret) || handshake.frontend.Forwarder == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	handshake.frontend.Forwarder.Cancel(ctx, processID, secret)
}

// authenticateAndOpen authenticates the caller and opens its session.
func (handshake *handshake) authenticateAndOpen(version uint32, body []byte) (*session.Session, error) {
	startup, err := parseStartup(body)
	if err != nil {
		reason := refusal.ProtocolError
		if stderrors.Is(err, errUnsupported) {
			reason = refusal.Unsupported
		}
		handshake.refuse(refusal.New(reason, err.Error()))
		return nil, err
	}
	handshake.caller = session.Caller{
		Organisation: startup.organisation, Key: startup.key, Owner: startup.owner, Route: startup.route,
		ReadOnly: startup.readOnly, Idempotent: startup.idempotent, Token: startup.token, WantsToken: startup.wantsToken,
	}
	if refused := handshake.admit(); refused != nil {
		handshake.refuse(refused)
		return nil, refused
	}
	if version != protocolVersion || len(startup.unrecognised) > 0 {
		if err := handshake.send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: protocolVersion, UnrecognizedOptions: startup.unrecognised}); err != nil {
			return nil, err
		}
	}
	reader := wire.NewReader(handshake.conn, maxAuthenticationBytes)
	if err := handshake.authenticate(reader); err != nil {
		return nil, err
	}
	return handshake.openSession(reader)
}

func (handshake *handshake) admit() *refusal.Refusal {
	if !handshake.encrypted && !handshake.frontend.Plaintext {
		return refusal.New(refusal.Unsupported, "connections without TLS")
	}
	if !handshake.frontend.Control.Admitting() {
		return refusal.New(refusal.NotConfirmed, "")
	}
	return nil
}

// credentials returns the credentials of the caller's key, or mock credentials if the key is unknown or its verifier is
// malformed.
func (handshake *handshake) credentials() (stored scram.StoredCredentials, known, withdrawn bool) {
	caller := &handshake.caller
	if held, revision, ok := handshake.frontend.Control.Contract(caller.Organisation); ok {
		caller.ContractRevision = revision
		if key, ok := held.Key(caller.Key); ok {
			stored, err := parseVerifier(key.Verifier)
			if err == nil {
				return stored, true, !key.WithdrawnAt.IsZero()
			}
			_ = handshake.frontend.Logger.Log("msg", "key has a malformed verifier", "organisation", caller.Organisation, "key", caller.Key, "err", err)
		}
	}
	user := string(caller.Organisation) + "." + string(caller.Key)
	return mockCredentials(handshake.frontend.MockSecret, user), false, false
}

// authenticate runs the SCRAM-SHA-256 exchange. Like PostgreSQL, it ignores the user name in the exchange, which psql leaves
// empty.
func (handshake *handshake) authenticate(reader *wire.Reader) error {
	stored, known, withdrawn := handshake.credentials()
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	if err != nil {
		return fmt.Errorf("scram: %w", err)
	}
	conversation := server.NewConversation()
	if err := handshake.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}}); err != nil {
		return err
	}
	frame, err := handshake.readSASLMessage(reader)
	if err != nil {
		return err
	}
	var initial pgproto3.SASLInitialResponse
	if err := initial.Decode(frame.Body()); err != nil || initial.AuthMechanism != mechanism {
		return handshake.refuse(refusal.New(refusal.ProtocolError, "authentication mechanism"))
	}
	first, err := conversation.Step(string(initial.Data))
	if err != nil {
		return handshake.refuse(refusal.New(refusal.ProtocolError, "first message of the authentication"))
	}
	if err := handshake.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(first)}); err != nil {
		return err
	}
	if frame, err = handshake.readSASLMessage(reader); err != nil {
		return err
	}
	final, err := conversation.Step(string(frame.Body()))
	switch {
	case err != nil || !conversation.Valid() || !known:
		return handshake.refuse(refusal.New(refusal.KeyUnknown, ""))
	case withdrawn:
		return handshake.refuse(refusal.New(refusal.KeyWithdrawn, string(handshake.caller.Key)))
	}
	return handshake.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)}, &pgproto3.AuthenticationOk{})
}

// readSASLMessage reads an authentication message from the caller.
func (handshake *handshake) readSASLMessage(reader *wire.Reader) (wire.Frame, error) {
	frame, err := reader.Next()
	if err != nil {
		if stderrors.Is(err, wire.ErrMalformed) || stderrors.Is(err, wire.ErrTooLarge) {
			return nil, handshake.refuse(refusal.New(refusal.ProtocolError, err.Error()))
		}
		return nil, fmt.Errorf("read authentication: %w", err)
	}
	if frame.Type() != wire.Password {
		return nil, handshake.refuse(refusal.New(refusal.ProtocolError, "a message other than the authentication"))
	}
	return frame, nil
}

// openSession opens the session and completes the start-up.
func (handshake *handshake) openSession(reader *wire.Reader) (*session.Session, error) {
	reader.SetLimit(handshake.frontend.MaxMessageBytes)
	opened, err := handshake.frontend.Sessions.Open(handshake.conn, reader, handshake.caller)
	if err != nil {
		var refused *refusal.Refusal
		if stderrors.As(err, &refused) {
			return nil, handshake.refuse(refused)
		}
		return nil, fmt.Errorf("open session: %w", err)
	}
	processID, secret := opened.KeyData()
	messages := make([]pgproto3.BackendMessage, 0, len(reportedParameters)+2)
	for _, parameter := range reportedParameters {
		messages = append(messages, &pgproto3.ParameterStatus{Name: parameter[0], Value: parameter[1]})
	}
	messages = append(
		messages,
		&pgproto3.ParameterStatus{Name: "session_authorization", Value: userName(handshake.caller.Organisation, handshake.caller.Key)},
		&pgproto3.BackendKeyData{ProcessID: processID, SecretKey: secret},
		&pgproto3.ReadyForQuery{TxStatus: wire.Idle},
	)
	if err := handshake.send(messages...); err != nil {
		opened.Close()
		return nil, err
	}
	_ = handshake.conn.SetDeadline(time.Time{})
	return opened, nil
}

// userName returns the user name in the form ORG.KEY_ID.
func userName(organisation ids.OrganisationID, key ids.KeyID) string {
	return string(organisation) + "." + string(key)
}

func (handshake *handshake) send(messages ...pgproto3.BackendMessage) error {
	var buffer []byte
	var err error
	for _, message := range messages {
		if buffer, err = message.Encode(buffer); err != nil {
			return fmt.Errorf("encode: %w", err)
		}
	}
	if _, err = handshake.conn.Write(buffer); err != nil {
		return fmt.Errorf("write start-up answer: %w", err)
	}
	return nil
}

// refuse records the refusal, sends it to the caller and returns it.
func (handshake *handshake) refuse(refused *refusal.Refusal) error {
	refused = handshake.frontend.Recorder.Record(refused, handshake.caller)
	_ = handshake.send(session.Response(refused, "FATAL"))
	return refused
}
