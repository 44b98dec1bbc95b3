package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"dotterelgw/io/peer"
	"dotterelgw/io/peer/peerpb"
)

// authority is a certificate authority.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t testing.TB) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet CA"}, NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{certificate: certificate, key: key}
}

// config returns a TLS configuration with a certificate of this authority that trusts certificates of the other one.
func (authority *authority) config(t testing.TB, trusted *authority) *tls.Config {
	t.Helper()
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "vm"}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &authority.key.PublicKey, authority.key)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(trusted.certificate)
	return peer.TLS(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: authority.key}, pool)
}

func serve(t *testing.T, handlers peer.Handlers, config *tls.Config) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(handlers, config)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

func exchange(ctx context.Context, t *testing.T, config *tls.Config, address string) (*peerpb.Heartbeat, error) {
	t.Helper()
	dialer := peer.NewDialer(config)
	t.Cleanup(func() { _ = dialer.Close() })
	client, err := dialer.Peer(address)
	if err != nil {
		t.Fatal(err)
	}
	return client.Exchange(ctx, &peerpb.Heartbeat{Vm: "a"}, grpc.WaitForReady(true))
}

func echo(_ context.Context, heartbeat *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	return &peerpb.Heartbeat{Vm: "b", Revision: heartbeat.GetRevision()}, nil
}

// TestMutualTLS guards against clients and servers that are accepted without a certificate of the fleet's CA.
func TestMutualTLS(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	anonymous := ours.config(t, ours)
	anonymous.Certificates = nil
	cases := map[string]struct {
		client *tls.Config
		ok     bool
	}{
		"own CA":                     {ours.config(t, ours), true},
		"client of another CA":       {other.config(t, ours), false},
		"server of another CA":       {ours.config(t, other), false},
		"client without certificate": {anonymous, false},
		"client in plain text":       {nil, false},
		"both sides another CA":      {other.config(t, other), false},
	}
	address := serve(t, peer.Handlers{Exchange: echo}, ours.config(t, ours))
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			limit := 5 * time.Second
			if !c.ok {
				limit = 300 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			if _, err := exchange(ctx, t, c.client, address); (err == nil) != c.ok {
				t.Fatalf("accepted %v, error %v", err == nil, err)
			}
		})
	}
}

// TestUnsetHandler guards against a crash of the process when a handler is nil.
func TestUnsetHandler(t *testing.T) {
	_, err := exchange(context.Background(), t, nil, serve(t, peer.Handlers{}, nil))
	if status.Code(err) != codes.Unimplemented {
		t.Fatalf("got %v", err)
	}
}

// TestDeadlineWithoutOne guards against calls without a deadline that hang on a peer that accepts connections and never
// replies.
func TestDeadlineWithoutOne(t *testing.T) {
	hang := func(ctx context.Context, _ *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	_, err := exchange(context.Background(), t, nil, serve(t, peer.Handlers{Exchange: hang}, nil))
	if status.Code(err) != codes.DeadlineExceeded {
		t.Fatalf("got %v", err)
	}
}

// countingListener counts the bytes sent and received on all accepted connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.Accept.
func (listener *countingListener) Accept() (net.Conn, error) {
	connection, err := listener.Listener.Accept()
	return &countingConn{Conn: connection, bytes: &listener.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.Read.
func (connection *countingConn) Read(buffer []byte) (int, error) {
	count, err := connection.Conn.Read(buffer)
	connection.bytes.Add(int64(count))
	return count, err
}

// Write implements net.Conn.Write.
func (connection *countingConn) Write(buffer []byte) (int, error) {
	count, err := connection.Conn.Write(buffer)
	connection.bytes.Add(int64(count))
	return count, err
}

// BenchmarkExchange reports the TCP payload of one exchange in both directions, including gRPC and TLS.
func BenchmarkExchange(b *testing.B) {
	ours := newAuthority(b)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	listener := &countingListener{Listener: tcp}
	config := ours.config(b, ours)
	server := peer.NewServer(peer.Handlers{Exchange: func(context.Context, *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
		return idle, nil
	}}, config)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	dialer := peer.NewDialer(config)
	defer func() { _ = dialer.Close() }()
	client, err := dialer.Peer(tcp.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	if _, err := client.Exchange(context.Background(), idle, grpc.WaitForReady(true)); err != nil {
		b.Fatal(err)
	}
	listener.bytes.Store(0)
	exchanges := 0
	for b.Loop() {
		if _, err := client.Exchange(context.Background(), idle); err != nil {
			b.Fatal(err)
		}
		exchanges++
	}
	b.ReportMetric(float64(listener.bytes.Load())/float64(exchanges), "bytes/exchange")
}

// idle is a heartbeat without entries.
var idle = &peerpb.Heartbeat{
	Vm: "vm-17", AvailabilityZone: "hu-central-1", State: peerpb.VMState_VM_STATE_LIVE, Revision: 123456,
	ConfirmedAgeMs: 740, PlatformReachable: true, PlatformHeard: true, Digest: 1 << 60, Address: "10.1.2.3:7001",
}

func BenchmarkHeartbeatEncode(b *testing.B) {
	var buffer []byte
	b.ReportAllocs()
	for b.Loop() {
		buffer, _ = proto.MarshalOptions{}.MarshalAppend(buffer[:0], idle)
	}
	b.ReportMetric(float64(len(buffer)), "bytes")
}
