package group_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"dotterelgw/io/group"
)

// countingConn counts the bytes sent and received on a control connection.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (conn countingConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	conn.sent.Add(int64(count))
	return count, err
}

func (conn countingConn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	conn.received.Add(int64(count))
	return count, err
}

// BenchmarkBarrier measures a leadership barrier over loopback, and the bytes per status request, with three servers.
func BenchmarkBarrier(b *testing.B) {
	var sent, received atomic.Int64
	fixture := start(b, group.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		return countingConn{conn, &sent, &received}, err
	}))
	if _, err := fixture.groups.Barrier(context.Background(), groupID); err != nil {
		b.Fatal(err)
	}
	sent.Store(0)
	received.Store(0)
	for b.Loop() {
		if _, err := fixture.groups.Barrier(context.Background(), groupID); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(sent.Load())/float64(3*b.N), "sent-B/status")
	b.ReportMetric(float64(received.Load())/float64(3*b.N), "received-B/status")
}
