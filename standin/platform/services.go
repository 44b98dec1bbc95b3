package platform

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"dotterelgw/io/platform/etcdpb"
)

// services implements the gRPC services on top of the store.
type services struct {
	etcdpb.UnimplementedKVServer
	etcdpb.UnimplementedWatchServer
	etcdpb.UnimplementedLeaseServer
	store    *store
	injector *injector
}

// Range implements etcdpb.KVServer.Range.
func (services *services) Range(_ context.Context, request *etcdpb.RangeRequest) (*etcdpb.RangeResponse, error) {
	if len(request.GetKey()) == 0 {
		return nil, errEmptyKey
	}
	services.store.mutex.Lock()
	defer services.store.mutex.Unlock()
	return services.store.read(request)
}

// Txn implements etcdpb.KVServer.Txn.
func (services *services) Txn(_ context.Context, request *etcdpb.TxnRequest) (*etcdpb.TxnResponse, error) {
	if err := validateTxn(request); err != nil {
		return nil, err
	}
	return services.store.executeTxn(request)
}

// LeaseGrant implements etcdpb.LeaseServer.LeaseGrant.
func (services *services) LeaseGrant(_ context.Context, request *etcdpb.LeaseGrantRequest) (*etcdpb.LeaseGrantResponse, error) {
	ttl := max(1, request.GetTTL())
	id, err := services.store.grant(request.GetID(), time.Duration(ttl)*time.Second, time.Now())
	if err != nil {
		return nil, err
	}
	return &etcdpb.LeaseGrantResponse{Header: services.header(), ID: id, TTL: ttl}, nil
}

// LeaseRevoke implements etcdpb.LeaseServer.LeaseRevoke.
func (services *services) LeaseRevoke(_ context.Context, request *etcdpb.LeaseRevokeRequest) (*etcdpb.LeaseRevokeResponse, error) {
	if !services.store.revoke(request.GetID()) {
		return nil, errLeaseNotFound
	}
	return &etcdpb.LeaseRevokeResponse{Header: services.header()}, nil
}

// LeaseKeepAlive implements etcdpb.LeaseServer.LeaseKeepAlive. Each renewal counts as one call.
func (services *services) LeaseKeepAlive(stream grpc.BidiStreamingServer[etcdpb.LeaseKeepAliveRequest, etcdpb.LeaseKeepAliveResponse]) error {
	for {
		request, err := stream.Recv()
		if err != nil {
			return nil // the client ended the stream
		}
		if err := services.injector.beforeCall(stream.Context(), callKeepAlive, false); err != nil {
			return err
		}
		ttl := services.store.keepAlive(request.GetID(), time.Now())
		if err := services.injector.afterCall(stream.Context()); err != nil {
			return err
		}
		err = stream.Send(&etcdpb.LeaseKeepAliveResponse{Header: services.header(), ID: request.GetID(), TTL: int64(ttl / time.Second)})
		if err != nil {
			return err
		}
	}
}

func (services *services) header() *etcdpb.ResponseHeader {
	services.store.mutex.Lock()
	defer services.store.mutex.Unlock()
	return services.store.header()
}
