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

// maxMessageBytes admits a full exchange at the planned size: 7,000 groups and contracts at about 1 KB each, with room.
const maxMessageBytes = 64 << 20

// Handlers holds one function per RPC; a nil function answers Unimplemented.
type Handlers struct {
	// Exchange answers a heartbeat.
	Exchange func(context.Context, *peerpb.Heartbeat) (*peerpb.Heartbeat, error)
	// Borrow answers a request for grants.
	Borrow func(context.Context, *peerpb.BorrowRequest) (*peerpb.BorrowReply, error)
	// Evidence answers what this VM's watcher last saw of a group.
	Evidence func(context.Context, *peerpb.EvidenceRequest) (*peerpb.EvidenceReply, error)
	// Refusals answers with the record of a refusal.
	Refusals func(context.Context, *peerpb.RefusalRequest) (*peerpb.RefusalReply, error)
	// Cancel answers a forwarded cancel request.
	Cancel func(context.Context, *peerpb.CancelRequest) (*peerpb.CancelReply, error)
}

// Server answers the other VMs.
type Server struct {
	grpc *grpc.Server
}

// NewServer returns a server with the handlers. The TLS configuration must demand client certificates, as TLS
// returns it; nil means plain TCP and is for tests only.
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

// Serve accepts connections until Stop or Close; it closes the listener.
func (server *Server) Serve(listener net.Listener) error {
	if err := server.grpc.Serve(listener); err != nil {
		return fmt.Errorf("serve peers on %s: %w", listener.Addr(), err)
	}
	return nil
}

// Stop finishes running calls and closes all connections.
func (server *Server) Stop() { server.grpc.GracefulStop() }

// Close closes all connections at once.
func (server *Server) Close() { server.grpc.Stop() }

// service implements peerpb.PeerServer.
type service struct {
	peerpb.UnimplementedPeerServer
	handlers Handlers
}

// Exchange implements peerpb.PeerServer.Exchange.
func (service *service) Exchange(ctx context.Context, heartbeat *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	return answer(ctx, "Exchange", service.handlers.Exchange, heartbeat)
}

// Borrow implements peerpb.PeerServer.Borrow.
func (service *service) Borrow(ctx context.Context, request *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	return answer(ctx, "Borrow", service.handlers.Borrow, request)
}

// Evidence implements peerpb.PeerServer.Evidence.
func (service *service) Evidence(ctx context.Context, request *peerpb.EvidenceRequest) (*peerpb.EvidenceReply, error) {
	return answer(ctx, "Evidence", service.handlers.Evidence, request)
}

// Refusals implements peerpb.PeerServer.Refusals.
func (service *service) Refusals(ctx context.Context, request *peerpb.RefusalRequest) (*peerpb.RefusalReply, error) {
	return answer(ctx, "Refusals", service.handlers.Refusals, request)
}

// Cancel implements peerpb.PeerServer.Cancel.
func (service *service) Cancel(ctx context.Context, request *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	return answer(ctx, "Cancel", service.handlers.Cancel, request)
}

func answer[Q, A any](ctx context.Context, name string, handler func(context.Context, *Q) (*A, error), request *Q) (*A, error) {
	if handler == nil {
		return nil, status.Errorf(codes.Unimplemented, "this process does not answer %s", name)
	}
	return handler(ctx, request)
}
