package session_test

import (
	"bytes"
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// benchCallers is the number of callers that the performance targets refer to.
const benchCallers = 64

// pacedRates are the rates, in statements per second, at which added latency is measured. They include the rate of the target.
var pacedRates = map[string]time.Duration{"10k": 10_000, "25k": 25_000}

// runLoad runs count queries in total, spread over the callers, at most one per caller and interval, and reports latencies.
func runLoad(b *testing.B, conns []net.Conn, count int, interval time.Duration) {
	query, _ := (&pgproto3.Query{String: "SELECT 'x'"}).Encode(nil)
	perCaller := count/len(conns) + 1
	latencies := make([]time.Duration, len(conns)*perCaller)
	var running sync.WaitGroup
	for index, conn := range conns {
		running.Add(1)
		go func() {
			defer running.Done()
			buffer := make([]byte, 4096)
			next := time.Now().Add(interval * time.Duration(index) / time.Duration(len(conns)))
			for round := range perCaller {
				time.Sleep(time.Until(next))
				next = next.Add(interval)
				start := time.Now()
				if _, err := conn.Write(query); err != nil {
					b.Error(err)
					return
				}
				for end := 0; end < 6 || !bytes.Equal(buffer[end-6:end], []byte{'Z', 0, 0, 0, 5, 'I'}); {
					read, err := conn.Read(buffer[end:])
					if err != nil {
						b.Error(err)
						return
					}
					end += read
				}
				latencies[index*perCaller+round] = time.Since(start)
			}
		}()
	}
	running.Wait()
	slices.Sort(latencies)
	b.ReportMetric(float64(len(latencies))/b.Elapsed().Seconds(), "statements/s")
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
}

// runLoads measures at saturation and at the rates of pacedRates, which are below it.
func runLoads(b *testing.B, conns []net.Conn) {
	b.Run("saturated", func(b *testing.B) {
		b.ReportAllocs()
		runLoad(b, conns, b.N, 0)
	})
	for name, rate := range pacedRates {
		b.Run(name, func(b *testing.B) { runLoad(b, conns, b.N, time.Second*benchCallers/rate) })
	}
}

// BenchmarkThroughput measures statements through one proxy with 64 callers. Callers, proxy and server share the process.
func BenchmarkThroughput(b *testing.B) {
	for _, route := range []string{"app", "read"} {
		b.Run(route, func(b *testing.B) {
			proxy := newProxy(b, 32)
			for _, database := range []*database{proxy.primary, proxy.replica} {
				database.quiet = true
			}
			conns := make([]net.Conn, benchCallers)
			for index := range conns {
				conns[index] = proxy.dial(route, "").conn
			}
			runLoads(b, conns)
		})
	}
}

// BenchmarkDirect measures the same load without the proxy, for comparison.
func BenchmarkDirect(b *testing.B) {
	database := newDatabase(b, "direct", false)
	database.quiet = true
	conns := make([]net.Conn, benchCallers)
	for index := range conns {
		conn, err := pgconn.Connect(context.Background(), "postgres://x@"+database.listener.Addr().String()+"/x?sslmode=disable")
		if err != nil {
			b.Fatal(err)
		}
		hijacked, err := conn.Hijack()
		if err != nil {
			b.Fatal(err)
		}
		defer hijacked.Conn.Close()
		conns[index] = hijacked.Conn
	}
	runLoads(b, conns)
}
