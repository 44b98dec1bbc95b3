package platform

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"dotterelgw/io/platform/etcdpb"
)

// Names of calls in Counts.
const (
	callRange         = "Range"
	callTxn           = "Txn"
	callWatch         = "Watch"
	callWatchProgress = "WatchProgress"
	callLeaseGrant    = "LeaseGrant"
	callLeaseRevoke   = "LeaseRevoke"
	callKeepAlive     = "LeaseKeepAlive"
	callVMs           = "VMs"
)

// metadataVM is the gRPC metadata key and the HTTP header in which clients send their names.
const metadataVM = "vm"

func clientOf(ctx context.Context) string {
	if values := metadata.ValueFromIncomingContext(ctx, metadataVM); len(values) > 0 {
		return values[0]
	}
	return ""
}

// waitReachable waits while the client is partitioned.
func (injector *injector) waitReachable(ctx context.Context, client string) error {
	for {
		switches, changed := injector.get()
		if !slices.Contains(switches.Partitioned, client) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		}
	}
}

// beforeCall is called before a call takes effect: it counts the call and applies partitions, the outage, the rate
// limits and half of the delay.
func (injector *injector) beforeCall(ctx context.Context, method string, write bool) error {
	client := clientOf(ctx)
	if err := injector.waitReachable(ctx, client); err != nil {
		return err
	}
	injector.count(method, client)
	switches, _ := injector.get()
	if switches.Outage {
		return errOutage
	}
	if !injector.allow(write) {
		return errTooManyCalls
	}
	return injector.delay(ctx)
}

// afterCall is called before the response is sent: it applies the other half of the delay, partitions and the outage. A
// fault at this point loses the response of a call that took effect.
func (injector *injector) afterCall(ctx context.Context) error {
	if err := injector.delay(ctx); err != nil {
		return err
	}
	if err := injector.waitReachable(ctx, clientOf(ctx)); err != nil {
		return err
	}
	if switches, _ := injector.get(); switches.Outage {
		return errLostAnswer
	}
	return nil
}

// delay waits for half of the delay that is set per call.
func (injector *injector) delay(ctx context.Context) error {
	switches, _ := injector.get()
	if switches.SlowMS <= 0 {
		return nil
	}
	select {
	case <-time.After(time.Duration(switches.SlowMS) * time.Millisecond / 2):
		return nil
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
}

// interceptUnary applies the switches to a unary call.
func (injector *injector) interceptUnary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	var method string
	write := true
	switch request := request.(type) {
	case *etcdpb.RangeRequest:
		method, write = callRange, false
	case *etcdpb.TxnRequest:
		method, write = callTxn, isWriteTxn(request)
	case *etcdpb.LeaseGrantRequest:
		method = callLeaseGrant
	case *etcdpb.LeaseRevokeRequest:
		method = callLeaseRevoke
	default:
		method = info.FullMethod
	}
	if err := injector.beforeCall(ctx, method, write); err != nil {
		return nil, err
	}
	response, err := handler(ctx, request)
	if err != nil {
		return nil, err
	}
	if method == callTxn && injector.consumeLostAnswer() {
		return nil, errLostAnswer
	}
	if err := injector.afterCall(ctx); err != nil {
		return nil, err
	}
	return response, nil
}
