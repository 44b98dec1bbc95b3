package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"dotterelgw/io/peer/peerpb"
)

// maxMessageBytes allows an exchange of all entries at the planned size, 7,000 groups and contracts of about 1 KB each,
// with a margin.
const maxMessageBytes = 64 << 20

// Handlers holds one function per RPC. A nil function makes the RPC fail with Unimplemented.
type Handlers struct {
	// Exchange answers a heartbeat.
	Exchange func(context.Context, *peerpb.Heartbeat) (*peerpb.Heartbeat, error)
	// Borrow answers a request for rate limit tokens.
	Borrow func(context.Context, *peerpb.BorrowRequest) (*peerpb.BorrowReply, error)
	// Evidence returns the last observations of a group by this VM.
	Evidence func(context.Context, *peerpb.EvidenceRequest) (*peerpb.EvidenceReply, error)
	// Refusals returns the record of a refusal.
	Refusals func(context.Context, *peerpb.RefusalRequest) (*peerpb.RefusalReply, error)
	// Cancel handles a forwarded cancel request.
	Cancel func(context.Context, *peerpb.CancelRequest) (*peerpb.CancelReply, error)
}

// Server is the gRPC server for the other VMs.
type Server struct {
	grpc *grpc.Server
}

// NewServer returns a server with the handlers. The TLS configuration must require client certificates, like those that
// TLS returns. Nil means plain TCP and is for tests only.
func NewServer(handlers Handlers, config *tls.Config) *Server {
	transport := insecure.NewCredentials()
	if config != nil {
		transport = credentials.NewTLS(config)
	}
	server := &Server{grpc: grpc.NewServer(
		grpc.Creds(transport),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.ConnectionTimeout(connectTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: time.Minute, Timeout: keepaliveTimeout}),
	)}
	peerpb.RegisterPeerServer(server.grpc, &service{handlers: handlers})
	return server
}

// Serve accepts connections until Stop or Close is called. It closes the listener.
func (server *Server) Serve(listener net.Listener) error {
	if err := server.grpc.Serve(listener); err != nil {
		return fmt.Errorf("serve peers on %s: %w", listener.Addr(), err)
	}
	return nil
}

// Stop waits for calls in flight and closes all connections.
func (server *Server) Stop() { server.grpc.GracefulStop() }

// Close closes all connections immediately.
func (server *Server) Close() { server.grpc.Stop() }

// service implements peerpb.PeerServer.
type service struct {
	peerpb.UnimplementedPeerServer
	handlers Handlers
}

// Exchange implements peerpb.PeerServer.Exchange.
func (service *service) Exchange(ctx context.Context, heartbeat *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	return dispatch(ctx, "Exchange", service.handlers.Exchange, heartbeat)
}

// Borrow implements peerpb.PeerServer.Borrow.
func (service *service) Borrow(ctx context.Context, request *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	return dispatch(ctx, "Borrow", service.handlers.Borrow, request)
}

// Evidence implements peerpb.PeerServer.Evidence.
func (service *service) Evidence(ctx context.Context, request *peerpb.EvidenceRequest) (*peerpb.EvidenceReply, error) {
	return dispatch(ctx, "Evidence", service.handlers.Evidence, request)
}

// Refusals implements peerpb.PeerServer.Refusals.
func (service *service) Refusals(ctx context.Context, request *peerpb.RefusalRequest) (*peerpb.RefusalReply, error) {
	return dispatch(ctx, "Refusals", service.handlers.Refusals, request)
}

// Cancel implements peerpb.PeerServer.Cancel.
func (service *service) Cancel(ctx context.Context, request *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	return dispatch(ctx, "Cancel", service.handlers.Cancel, request)
}

// dispatch calls the handler, or fails with Unimplemented if it is nil.
func dispatch[Q, A any](ctx context.Context, name string, handler func(context.Context, *Q) (*A, error), request *Q) (*A, error) {
	if handler == nil {
		return nil, status.Errorf(codes.Unimplemented, "this process does not answer %s", name)
	}
	return handler(ctx, request)
}
