package platform

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dotterelgw/io/platform/etcdpb"
)

// Grant implements Leases.Grant. The service accepts only whole seconds, so the time to live is rounded up.
func (client *client) Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	response, err := client.lease.LeaseGrant(ctx, &etcdpb.LeaseGrantRequest{TTL: seconds})
	if err != nil {
		return Lease{}, 0, fmt.Errorf("grant lease: %w", writeError(callError(err)))
	}
	if response.GetError() != "" {
		return Lease{}, 0, fmt.Errorf("grant lease: %s", response.GetError())
	}
	return Lease{ID: response.GetID()}, time.Duration(response.GetTTL()) * time.Second, nil
}

// KeepAlive implements Leases.KeepAlive. Each call opens a new stream, so that the deadline of the context covers the renewal.
func (client *client) KeepAlive(ctx context.Context, lease Lease) (time.Duration, error) {
	streamContext, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.lease.LeaseKeepAlive(streamContext)
	if err != nil {
		return 0, fmt.Errorf("keep lease %x alive: %w", lease.ID, callError(err))
	}
	// If Send fails, it returns io.EOF, and Recv returns the reason.
	_ = stream.Send(&etcdpb.LeaseKeepAliveRequest{ID: lease.ID})
	response, err := stream.Recv()
	if err != nil {
		return 0, fmt.Errorf("keep lease %x alive: %w", lease.ID, callError(err))
	}
	if response.GetTTL() <= 0 {
		return 0, fmt.Errorf("keep lease %x alive: %w", lease.ID, ErrLeaseEnded)
	}
	return time.Duration(response.GetTTL()) * time.Second, nil
}

// Revoke implements Leases.Revoke.
func (client *client) Revoke(ctx context.Context, lease Lease) error {
	_, err := client.lease.LeaseRevoke(ctx, &etcdpb.LeaseRevokeRequest{ID: lease.ID})
	if status.Code(err) == codes.NotFound {
		return fmt.Errorf("revoke lease %x: %w", lease.ID, ErrLeaseEnded)
	}
	if err != nil {
		return fmt.Errorf("revoke lease %x: %w", lease.ID, writeError(callError(err)))
	}
	return nil
}
