package frontend_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/refusal"
	"dotterelgw/io/backend/wire"
	"dotterelgw/io/frontend"
	"dotterelgw/io/session"
)

// environment provides fakes of the dependencies of a frontend.
type environment struct {
	contracts   map[ids.OrganisationID]*contract.Contract
	unconfirmed atomic.Bool
	panics      atomic.Bool
	forwarded   chan uint32
	*session.Server
}

func (environment *environment) Contract(org ids.OrganisationID) (*contract.Contract, ids.Revision, bool) {
	found, ok := environment.contracts[org]
	return found, 1, ok
}

func (environment *environment) Admitting() bool { return !environment.unconfirmed.Load() }

func (environment *environment) Record(refused *refusal.Refusal, _ session.Caller) *refusal.Refusal {
	return refused
}

func (environment *environment) Open(conn net.Conn, reader *wire.Reader, caller session.Caller) (*session.Session, error) {
	if environment.panics.Load() {
		panic("injected panic")
	}
	return environment.Server.Open(conn, reader, caller)
}

// forwarder records the cancel requests that are forwarded to other VMs.
type forwarder chan uint32

func (forwarder forwarder) Cancel(_ context.Context, processID uint32, _ []byte) {
	forwarder <- processID
}

func verifier(key string) string {
	client, _ := scram.SHA256.NewClient("", key, "")
	stored, _ := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096})
	encode := func(data []byte) string { return base64.StdEncoding.EncodeToString(data) }
	return fmt.Sprintf("SCRAM-SHA-256$4096:%s$%s:%s", encode([]byte(stored.Salt)), encode(stored.StoredKey), encode(stored.ServerKey))
}

func newEnvironment(t *testing.T, change func(*frontend.Dependencies)) (*environment, string) {
	environment := &environment{forwarded: make(chan uint32, 1), contracts: map[ids.OrganisationID]*contract.Contract{
		"frissito": {
			Organisation: "frissito", Limits: contract.Limits{Connections: 2},
			Routes: []contract.Route{{Name: "app", Group: "g1"}},
			Keys: []contract.Key{
				{ID: "bot", Verifier: verifier("right")},
				{ID: "old", Verifier: verifier("right"), WithdrawnAt: time.Unix(1, 0)},
				{ID: "damaged", Verifier: "md5"},
			},
		},
		"seixal": {Organisation: "seixal", Routes: []contract.Route{{Name: "open", Group: "g2", Open: true}, {Name: "own", Group: "g2"}}},
	}}
	environment.Server = session.New(session.Dependencies{Control: environment, Recorder: environment, VM: "vm1"})
	dependencies := frontend.Dependencies{Control: environment, Sessions: environment, Recorder: environment, Plaintext: true, Forwarder: forwarder(environment.forwarded)}
	if change != nil {
		change(&dependencies)
	}
	front, err := frontend.New(dependencies)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = front.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		ctx, stop := context.WithCancel(context.Background())
		stop()
		_ = environment.Drain(ctx)
		front.Wait()
	})
	return environment, listener.Addr().String()
}

// connect logs in with pgx and returns the SQLSTATE of the refusal, or "" on success.
func connect(t *testing.T, address, user, password, database, parameters string) (*pgconn.PgConn, string) {
	t.Helper()
	conn, err := pgconn.Connect(context.Background(), fmt.Sprintf("postgres://%s:%s@%s/%s?%s", user, password, address, database, parameters))
	var refused *pgconn.PgError
	switch {
	case err == nil:
		t.Cleanup(func() { _ = conn.Close(context.Background()) })
		return conn, ""
	case errors.As(err, &refused):
		return nil, refused.Code
	}
	return nil, err.Error()
}

// TestLogin guards against callers that log in without a valid key of their own or to a route that they must not use.
func TestLogin(t *testing.T) {
	cases := map[string]struct{ user, password, database, want string }{
		"own route":             {"frissito.bot", "right", "app", ""},
		"open route":            {"frissito.bot", "right", "seixal%2fopen", ""},
		"route of another":      {"frissito.bot", "right", "seixal%2fown", "42501"},
		"unknown route":         {"frissito.bot", "right", "other", "3D000"},
		"wrong key":             {"frissito.bot", "wrong", "app", "28P01"},
		"unknown key":           {"frissito.none", "right", "app", "28P01"},
		"unknown organisation":  {"none.bot", "right", "app", "28P01"},
		"invalid user":          {"postgres", "right", "app", "28P01"},
		"withdrawn key":         {"frissito.old", "right", "app", "28000"},
		"withdrawn, wrong key":  {"frissito.old", "wrong", "app", "28P01"},
		"damaged verifier":      {"frissito.damaged", "right", "app", "28P01"},
		"key of another's user": {"seixal.bot", "right", "app", "28P01"},
	}
	for name, tested := range cases {
		t.Run(name, func(t *testing.T) {
			_, address := newEnvironment(t, nil)
			conn, got := connect(t, address, tested.user, tested.password, tested.database, "sslmode=disable")
			if got != tested.want {
				t.Fatalf("got %q, want %q", got, tested.want)
			}
			if conn != nil && conn.ParameterStatus("standard_conforming_strings") != "on" {
				t.Error("a setting that drivers need is not reported")
			}
		})
	}
}

// scramTranscript runs the start-up and SCRAM with a wrong key and returns all answers of the frontend, without the nonce.
func scramTranscript(t *testing.T, address, user string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	caller := pgproto3.NewFrontend(conn, conn)
	caller.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": user, "database": "app"}})
	client, _ := scram.SHA256.NewClient("", "wrong", "")
	conversation := client.NewConversation()
	first, _ := conversation.Step("")
	transcript := ""
	for _, data := range []string{"", first} {
		if data != "" {
			caller.Send(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(data)})
		}
		if err := caller.Flush(); err != nil {
			t.Fatal(err)
		}
		message, err := caller.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if challenge, ok := message.(*pgproto3.AuthenticationSASLContinue); ok {
			reply, err := conversation.Step(string(challenge.Data))
			if err != nil {
				t.Fatal(err)
			}
			// The nonce and the salt may differ, but not their lengths and the iteration count.
			parts := strings.Split(string(challenge.Data), ",")
			transcript += fmt.Sprintf("%d bytes, nonce of %d, %s\n", len(challenge.Data), len(parts[0]), parts[2])
			caller.Send(&pgproto3.SASLResponse{Data: []byte(reply)})
		} else {
			transcript += fmt.Sprintf("%T %+v\n", message, message)
		}
	}
	_ = caller.Flush()
	message, err := caller.Receive()
	if err != nil {
		t.Fatal(err)
	}
	return transcript + fmt.Sprintf("%+v", message)
}

// TestUnknownUser guards against answers that distinguish an unknown user from a wrong key.
func TestUnknownUser(t *testing.T) {
	_, address := newEnvironment(t, nil)
	known := scramTranscript(t, address, "frissito.bot")
	for _, user := range []string{"frissito.none", "none.bot", "postgres"} {
		if got := scramTranscript(t, address, user); got != known {
			t.Errorf("%s:\n%s\nwant:\n%s", user, got, known)
		}
	}
}

func certificate(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	signed, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{signed}, PrivateKey: key}}}
}

// TestTLS guards against plain-text connections that the settings do not allow and against failing TLS connections.
func TestTLS(t *testing.T) {
	_, address := newEnvironment(t, func(dependencies *frontend.Dependencies) {
		dependencies.TLS, dependencies.Plaintext = certificate(t), false
	})
	if _, got := connect(t, address, "frissito.bot", "right", "app", "sslmode=require"); got != "" {
		t.Errorf("TLS: %q", got)
	}
	if _, got := connect(t, address, "frissito.bot", "right", "app", "sslmode=disable"); got != "0A000" {
		t.Errorf("plain text: %q", got)
	}
}

// TestLimits guards against connections beyond the limits of the contract or the VM, or on a VM whose configuration is not
// confirmed.
func TestLimits(t *testing.T) {
	environment, address := newEnvironment(t, func(dependencies *frontend.Dependencies) { dependencies.MaxConnections = 4 })
	for _, want := range []string{"", "", "53300"} {
		if _, got := connect(t, address, "frissito.bot", "right", "app", "sslmode=disable"); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	environment.unconfirmed.Store(true)
	if _, got := connect(t, address, "frissito.bot", "right", "app", "sslmode=disable"); got != "57P03" {
		t.Errorf("unconfirmed VM: %q", got)
	}
}

// TestPanic guards against a panic in one start-up that affects other connections.
func TestPanic(t *testing.T) {
	environment, address := newEnvironment(t, nil)
	environment.panics.Store(true)
	if _, got := connect(t, address, "frissito.bot", "right", "app", "sslmode=disable"); got == "" {
		t.Error("the start-up that panicked succeeded")
	}
	environment.panics.Store(false)
	if _, got := connect(t, address, "frissito.bot", "right", "app", "sslmode=disable"); got != "" {
		t.Errorf("after the panic: %q", got)
	}
}

func packet(code uint32, body string) []byte {
	packet := binary.BigEndian.AppendUint32(nil, uint32(8+len(body)))
	return append(binary.BigEndian.AppendUint32(packet, code), body...)
}

// TestMalformed guards against malformed packets that get the wrong error or end other connections.
func TestMalformed(t *testing.T) {
	const version30, version39 = 3 << 16, 3<<16 | 9
	valid := "user\x00frissito.bot\x00database\x00app\x00\x00"
	environment, address := newEnvironment(t, nil)
	open, _ := connect(t, address, "frissito.bot", "right", "app", "sslmode=disable")
	cases := map[string]struct {
		data []byte
		want string
	}{
		"too long":              {[]byte{0, 1, 0, 0, 0, 3, 0, 0}, "08P01"},
		"too short":             {[]byte{0, 0, 0, 7, 0, 3, 0, 0}, "08P01"},
		"no parameters":         {packet(version30, ""), "08P01"},
		"version 2":             {packet(2<<16, valid), "08P01"},
		"replication":           {packet(version30, "user\x00a.b\x00replication\x00on\x00\x00"), "0A000"},
		"query instead of key":  {append(packet(version30, valid), "Q\x00\x00\x00\x05\x00"...), "08P01"},
		"large authentication":  {append(packet(version30, valid), "p\x00\xff\x00\x00"...), "08P01"},
		"unknown mechanism":     {append(packet(version30, valid), "p\x00\x00\x00\x0aX\x00\x00\x00\x00\x00"...), "08P01"},
		"GSS, TLS, later minor": {append(append(packet(80877104, ""), packet(80877103, "")...), append(packet(version39, valid), "Q\x00\x00\x00\x05\x00"...)...), "NNv08P01"},
	}
	for name, tested := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write(tested.data); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			got := ""
			for len(tested.want) > len(got)+5 && len(got) < 2 {
				answer := make([]byte, 1)
				if _, err := io.ReadFull(conn, answer); err != nil {
					t.Fatal(err)
				}
				got += string(answer)
			}
			reader := wire.NewReader(conn, 10_000)
			for {
				frame, err := reader.Next()
				if err != nil {
					break
				}
				switch frame.Type() {
				case wire.ErrorResponse:
					got += wire.ErrorField(frame, 'C')
				case 'v':
					got += "v"
				}
			}
			if got != tested.want {
				t.Errorf("got %q, want %q", got, tested.want)
			}
		})
	}
	if environment.Sessions() != 1 || open.IsClosed() {
		t.Error("another connection was ended")
	}
}

// TestCancelForwarded guards against cancel requests that are lost because the load balancer sent them to another VM.
func TestCancelForwarded(t *testing.T) {
	environment, address := newEnvironment(t, nil)
	own, _ := connect(t, address, "frissito.bot", "right", "app", "sslmode=disable")
	for _, processID := range []uint32{own.PID(), own.PID() + 1} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err = conn.Write(packet(80877102, string(binary.BigEndian.AppendUint32(nil, processID))+"wxyz")); err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	select {
	case processID := <-environment.forwarded:
		if processID != own.PID()+1 || session.PrefixOfProcessID(processID) != session.PrefixForVM("vm1") {
			t.Errorf("forwarded %d", processID)
		}
	default:
		t.Error("the request was not forwarded")
	}
}
