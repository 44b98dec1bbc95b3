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
	// callTimeout bounds calls whose context has no deadline. The reply to a heartbeat is of no use after this time.
	callTimeout = time.Second
	// connectTimeout bounds the TCP connect and the TLS handshake.
	connectTimeout = time.Second
	// maxReconnectDelay bounds the backoff between connection attempts. gRPC's default of 120 s would outlast short
	// partitions.
	maxReconnectDelay = time.Second
	// keepaliveTime is the shortest keepalive interval that gRPC permits for clients.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout bounds the wait for a keepalive reply. gRPC also sets it as TCP_USER_TIMEOUT, so that a connection
	// that is stuck in retransmission after a partition is replaced within this time.
	keepaliveTimeout = 2 * time.Second
	// idleTimeout is the time after which an unused connection is closed, such as one to a VM that was replaced.
	idleTimeout = 5 * time.Minute
)

// Dialer returns gRPC clients for other VMs.
type Dialer interface {
	// Peer returns a client for the numeric address. Connections are established in the background and reused.
	Peer(address string) (peerpb.PeerClient, error)
}

// ConnectionDialer implements Dialer with one connection per address. Close closes them.
type ConnectionDialer struct {
	options     []grpc.DialOption
	now         func() time.Time
	mutex       sync.Mutex
	connections map[string]*connection
}

// connection is a connection to one address and the time of the last call of Peer for it.
type connection struct {
	client   peerpb.PeerClient
	grpc     *grpc.ClientConn
	lastUsed time.Time
}

// NewDialer returns a dialer that uses the TLS configuration. Nil means plain TCP and is for tests only.
func NewDialer(config *tls.Config) *ConnectionDialer {
	transport := insecure.NewCredentials()
	if config != nil {
		transport = credentials.NewTLS(config)
	}
	reconnect := backoff.Config{BaseDelay: maxReconnectDelay / 10, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxReconnectDelay}
	return &ConnectionDialer{
		options: []grpc.DialOption{
			grpc.WithTransportCredentials(transport),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: connectTimeout}),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
			grpc.WithUnaryInterceptor(withDefaultTimeout),
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
	if cached, ok := dialer.connections[address]; ok {
		cached.lastUsed = now
		return cached.client, nil
	}
	dialer.closeIdle(now)
	// The passthrough scheme disables name resolution in gRPC. VMs address each other numerically.
	client, err := grpc.NewClient("passthrough:///"+address, dialer.options...)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", address, err)
	}
	dialer.connections[address] = &connection{client: peerpb.NewPeerClient(client), grpc: client, lastUsed: now}
	return dialer.connections[address].client, nil
}

// Close closes all connections. Calls in flight fail.
func (dialer *ConnectionDialer) Close() error {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	var first error
	for address, cached := range dialer.connections {
		if err := cached.grpc.Close(); err != nil && first == nil {
			first = fmt.Errorf("close connection to %s: %w", address, err)
		}
	}
	clear(dialer.connections)
	return first
}

// closeIdle closes the connections that were not used within idleTimeout. The caller holds the mutex.
func (dialer *ConnectionDialer) closeIdle(now time.Time) {
	for address, cached := range dialer.connections {
		if now.Sub(cached.lastUsed) > idleTimeout {
			_ = cached.grpc.Close()
			delete(dialer.connections, address)
		}
	}
}

// withDefaultTimeout is an interceptor that applies callTimeout to calls whose context has no deadline.
func withDefaultTimeout(ctx context.Context, method string, request, reply any, client *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	return invoke(ctx, method, request, reply, client, options...)
}
