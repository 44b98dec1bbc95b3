package admin_test

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/refusal"
	"dotterelgw/io/admin"
)

// BenchmarkRecord measures a refusal while the recorder is full.
func BenchmarkRecord(b *testing.B) {
	recorder := admin.NewRecorder("vm1", metrics.NewRegistry(), time.Now)
	refused := refusal.New(refusal.RateExceeded, "5 of 5")
	caller := admin.Caller{Organisation: "acme", Key: "k1", Route: "main", ContractRevision: 9}
	for range 10_000 {
		recorder.Record(refused, caller)
	}
	b.ReportAllocs()
	for b.Loop() {
		recorder.Record(refused, caller)
	}
}
