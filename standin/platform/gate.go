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

// Names under which calls are counted.
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

// metadataVM is the gRPC metadata key, and the HTTP header, by which clients name themselves.
const metadataVM = "vm"

func clientOf(ctx context.Context) string {
	if values := metadata.ValueFromIncomingContext(ctx, metadataVM); len(values) > 0 {
		return values[0]
	}
	return ""
}

// reach waits while the client is partitioned.
func (board *board) reach(ctx context.Context, client string) error {
	for {
		switches, changed := board.get()
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

// admit lets a call in: it counts the call and applies partition, outage, rates and half of the delay.
func (board *board) admit(ctx context.Context, method string, write bool) error {
	client := clientOf(ctx)
	if err := board.reach(ctx, client); err != nil {
		return err
	}
	board.count(method, client)
	switches, _ := board.get()
	if switches.Outage {
		return errOutage
	}
	if !board.withinRate(write) {
		return errTooManyCalls
	}
	return board.delay(ctx)
}

// answer lets a response out: it applies the other half of the delay, partition and outage, which lose the response of a
// call that took effect.
func (board *board) answer(ctx context.Context) error {
	if err := board.delay(ctx); err != nil {
		return err
	}
	if err := board.reach(ctx, clientOf(ctx)); err != nil {
		return err
	}
	if switches, _ := board.get(); switches.Outage {
		return errLostAnswer
	}
	return nil
}

// delay waits for half of the delay per call.
func (board *board) delay(ctx context.Context) error {
	switches, _ := board.get()
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

// unary applies the switches to a call with one request and one response.
func (board *board) unary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	var method string
	write := true
	switch request := request.(type) {
	case *etcdpb.RangeRequest:
		method, write = callRange, false
	case *etcdpb.TxnRequest:
		method, write = callTxn, writes(request)
	case *etcdpb.LeaseGrantRequest:
		method = callLeaseGrant
	case *etcdpb.LeaseRevokeRequest:
		method = callLeaseRevoke
	default:
		method = info.FullMethod
	}
	if err := board.admit(ctx, method, write); err != nil {
		return nil, err
	}
	response, err := handler(ctx, request)
	if err != nil {
		return nil, err
	}
	if method == callTxn && board.takeLostAnswer() {
		return nil, errLostAnswer
	}
	if err := board.answer(ctx); err != nil {
		return nil, err
	}
	return response, nil
}
