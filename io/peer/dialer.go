package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"dotterelgw/io/peer/peerpb"
)

const (
	// callTimeout bounds calls whose context has no deadline; a longer one would outlast a heartbeat's use.
	callTimeout = time.Second
	// connectTimeout bounds connecting and the TLS handshake.
	connectTimeout = time.Second
	// reconnectDelay bounds the pause between attempts, since gRPC's default of 120 s would outlast short partitions.
	reconnectDelay = time.Second
	// keepaliveTime is gRPC's least interval for clients.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout also becomes TCP_USER_TIMEOUT, so that a connection stuck in retransmission after a
	// partition is replaced within this time.
	keepaliveTimeout = 2 * time.Second
	// unusedAfter is the time after which a connection to a VM that was replaced is closed.
	unusedAfter = 5 * time.Minute
)

// Dialer returns clients for other VMs.
type Dialer interface {
	// Peer returns a client for the numeric address; connections are made in the background and reused.
	Peer(address string) (peerpb.PeerClient, error)
}

// ConnectionDialer is the Dialer of a process; Close ends its connections.
type ConnectionDialer struct {
	options     []grpc.DialOption
	now         func() time.Time
	mutex       sync.Mutex
	connections map[string]*connection
}

type connection struct {
	client peerpb.PeerClient
	grpc   *grpc.ClientConn
	used   time.Time
}

// NewDialer returns a dialer with the process's certificate; nil means plain TCP and is for tests only.
func NewDialer(config *tls.Config) *ConnectionDialer {
	transport := insecure.NewCredentials()
	if config != nil {
		transport = credentials.NewTLS(config)
	}
	reconnect := backoff.Config{BaseDelay: reconnectDelay / 10, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectDelay}
	return &ConnectionDialer{
		options: []grpc.DialOption{
			grpc.WithTransportCredentials(transport),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: connectTimeout}),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
			grpc.WithUnaryInterceptor(withDeadline),
			grpc.WithNoProxy(),
			grpc.WithDisableServiceConfig(),
		},
		now:         time.Now,
		connections: map[string]*connection{},
	}
}

// Peer implements Dialer.Peer.
func (dialer *ConnectionDialer) Peer(address string) (peerpb.PeerClient, error) {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	now := dialer.now()
	if known, ok := dialer.connections[address]; ok {
		known.used = now
		return known.client, nil
	}
	dialer.closeUnused(now)
	// The passthrough scheme keeps gRPC from resolving names: processes know each other by numeric address.
	client, err := grpc.NewClient("passthrough:///"+address, dialer.options...)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", address, err)
	}
	dialer.connections[address] = &connection{client: peerpb.NewPeerClient(client), grpc: client, used: now}
	return dialer.connections[address].client, nil
}

// Close closes all connections; calls under way fail.
func (dialer *ConnectionDialer) Close() error {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	var first error
	for address, known := range dialer.connections {
		if err := known.grpc.Close(); err != nil && first == nil {
			first = fmt.Errorf("close connection to %s: %w", address, err)
		}
	}
	clear(dialer.connections)
	return first
}

func (dialer *ConnectionDialer) closeUnused(now time.Time) {
	for address, known := range dialer.connections {
		if now.Sub(known.used) > unusedAfter {
			_ = known.grpc.Close()
			delete(dialer.connections, address)
		}
	}
}

func withDeadline(ctx context.Context, method string, request, reply any, client *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	return invoke(ctx, method, request, reply, client, options...)
}
