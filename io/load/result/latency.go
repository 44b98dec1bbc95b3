package result

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The histogram covers 1 µs to 5 min with 3 significant digits.
	lowestMicroseconds  = 1
	highestMicroseconds = 5 * 60 * 1_000_000
	significantDigits   = 3
)

// Latency is a summary of latencies in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Recorder records latencies, measured from the scheduled start of each request. It is not safe for concurrent use.
type Recorder struct{ histogram *hdrhistogram.Histogram }

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)}
}

// Record adds a latency. Values outside the range of the histogram are clamped to it.
func (recorder *Recorder) Record(latency time.Duration) {
	_ = recorder.histogram.RecordValue(min(highestMicroseconds, max(lowestMicroseconds, latency.Microseconds())))
}

// Reset removes all latencies.
func (recorder *Recorder) Reset() { recorder.histogram.Reset() }

// Latency returns a summary of the recorded latencies.
func (recorder *Recorder) Latency() Latency {
	histogram := recorder.histogram
	if histogram.TotalCount() == 0 {
		return Latency{}
	}
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / 1000 }
	return Latency{
		Count: histogram.TotalCount(), Mean: histogram.Mean() / 1000, P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: float64(histogram.Max()) / 1000,
	}
}
