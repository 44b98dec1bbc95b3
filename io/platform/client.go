package platform

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/resolver/manual"

	"dotterelgw/core/ids"
	"dotterelgw/io/platform/etcdpb"
)

// MetadataVM is the gRPC metadata key and the HTTP header that carry the id of the calling VM.
const MetadataVM = "vm"

const (
	// defaultPageSize is the maximum number of entries in the reply to one Range call.
	defaultPageSize = 500
	// defaultProgressPeriod equals the Exchange period of the peers, so that a relay's confirmation is as fresh as theirs.
	defaultProgressPeriod = 500 * time.Millisecond
	// defaultProgressTimeout leaves time to reconnect within the staleness limit of 3 s.
	defaultProgressTimeout = 1500 * time.Millisecond

	reconnectBackoffBase = 50 * time.Millisecond
	reconnectBackoffMax  = time.Second
	connectTimeout       = time.Second
	keepalivePeriod      = 10 * time.Second // the minimum of grpc-go
	keepaliveTimeout     = 2 * time.Second
)

// Option configures a client.
type Option func(*client)

// WithTLS enables TLS; without it the connection is plain text.
func WithTLS(settings *tls.Config) Option {
	return func(client *client) { client.tls = settings }
}

// WithProgress sets how often a watch sends a progress request and how long it waits for the answer.
func WithProgress(period, timeout time.Duration) Option {
	return func(client *client) { client.progressPeriod, client.progressTimeout = period, timeout }
}

// WithPageSize sets the maximum number of entries in the reply to one Range call.
func WithPageSize(entries int64) Option {
	return func(client *client) { client.pageSize = entries }
}

type client struct {
	connection *grpc.ClientConn
	kv         etcdpb.KVClient
	watch      etcdpb.WatchClient
	lease      etcdpb.LeaseClient

	tls             *tls.Config
	pageSize        int64
	progressPeriod  time.Duration
	progressTimeout time.Duration
}

// New returns a client of the key-value service, which listens on each of the addresses (host:port); the client uses one of
// them at a time. It connects in the background and reconnects with backoff. Calls fail fast while there is no connection.
func New(addresses []string, vm ids.VMID, options ...Option) (Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("key-value service: no address given")
	}
	client := &client{
		pageSize:        defaultPageSize,
		progressPeriod:  defaultProgressPeriod,
		progressTimeout: defaultProgressTimeout,
	}
	for _, option := range options {
		option(client)
	}
	connection, err := client.dial(addresses, vm)
	if err != nil {
		return nil, fmt.Errorf("key-value service: %w", err)
	}
	client.connection = connection
	client.kv = etcdpb.NewKVClient(connection)
	client.watch = etcdpb.NewWatchClient(connection)
	client.lease = etcdpb.NewLeaseClient(connection)
	return client, nil
}

// Close implements Client.Close.
func (client *client) Close() error {
	if err := client.connection.Close(); err != nil {
		return fmt.Errorf("close connection to key-value service: %w", err)
	}
	return nil
}

func (client *client) dial(addresses []string, vm ids.VMID) (*grpc.ClientConn, error) {
	state := resolver.State{}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("address %q: %w", address, err)
		}
		state.Endpoints = append(state.Endpoints, resolver.Endpoint{Addresses: []resolver.Address{{Addr: address}}})
	}
	builder := manual.NewBuilderWithScheme("platform")
	builder.InitialState(state)
	transport := insecure.NewCredentials()
	if client.tls != nil {
		transport = credentials.NewTLS(client.tls)
	}
	connection, err := grpc.NewClient("platform:///key-value",
		grpc.WithResolvers(builder),
		grpc.WithTransportCredentials(transport),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(math.MaxInt32)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBackoffBase, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectBackoffMax},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepalivePeriod, Timeout: keepaliveTimeout}),
		grpc.WithUnaryInterceptor(func(ctx context.Context, method string, request, reply any, connection *grpc.ClientConn,
			invoker grpc.UnaryInvoker, options ...grpc.CallOption,
		) error {
			return invoker(withVM(ctx, vm), method, request, reply, connection, options...)
		}),
		grpc.WithStreamInterceptor(func(ctx context.Context, description *grpc.StreamDesc, connection *grpc.ClientConn,
			method string, streamer grpc.Streamer, options ...grpc.CallOption,
		) (grpc.ClientStream, error) {
			return streamer(withVM(ctx, vm), description, connection, method, options...)
		}),
	)
	if err != nil {
		return nil, fmt.Errorf("create connection: %w", err)
	}
	return connection, nil
}

// withVM adds the id of the VM to the metadata of outgoing calls.
func withVM(ctx context.Context, vm ids.VMID) context.Context {
	return metadata.AppendToOutgoingContext(ctx, MetadataVM, string(vm))
}
