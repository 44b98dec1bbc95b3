package proxy

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/statement"
)

const (
	// sampleSize is the number of latencies that a histogram keeps.
	sampleSize = 256
	// sampleAlpha weights the sample towards the last five minutes.
	sampleAlpha = 0.015
)

// latencies holds the latency histograms by kind of statement and status code of the answer. It looks them up in the registry only once,
// since that takes as long as a refusal.
type latencies struct {
	registry metrics.Registry
	// histograms maps latencyKey to metrics.Histogram.
	histograms sync.Map
}

// latencyKey selects a histogram.
type latencyKey struct {
	kind statement.Kind
	code statement.Code
}

// of returns the histogram of a kind of statement and a status code.
func (latencies *latencies) of(kind statement.Kind, code statement.Code) metrics.Histogram {
	key := latencyKey{kind: kind, code: code}
	if histogram, ok := latencies.histograms.Load(key); ok {
		return histogram.(metrics.Histogram)
	}
	name := "latency_us." + kind.String() + "." + code.String()
	histogram := latencies.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	latencies.histograms.Store(key, histogram)
	return histogram
}
