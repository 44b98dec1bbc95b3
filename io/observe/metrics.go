package observe

import (
	"fmt"
	"net/http"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// quantiles holds the quantiles that are exported for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// MetricsHandler serves the registry in the text format of Prometheus; the prefix precedes the name of each metric.
func MetricsHandler(registry metrics.Registry, prefix string) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		format := expfmt.NewFormat(expfmt.TypeTextPlain)
		writer.Header().Set("Content-Type", string(format))
		encoder := expfmt.NewEncoder(writer, format)
		registry.Each(func(name string, metric any) {
			family := familyOf(prefix, name, metric)
			if family == nil {
				return
			}
			if err := encoder.Encode(family); err != nil {
				// The client has disconnected.
				return
			}
		})
	})
}

// familyOf converts a metric to a metric family, or returns nil for types that are not exported.
func familyOf(prefix, name string, metric any) *dto.MetricFamily {
	family := &dto.MetricFamily{Name: proto.String(prefix + sanitise(name)), Help: proto.String(help(name))}
	switch metric := metric.(type) {
	case metrics.Counter:
		family.Type = dto.MetricType_COUNTER.Enum()
		family.Metric = []*dto.Metric{{Counter: &dto.Counter{Value: proto.Float64(float64(metric.Count()))}}}
	case metrics.Gauge:
		family.Type = dto.MetricType_GAUGE.Enum()
		family.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: proto.Float64(float64(metric.Value()))}}}
	case metrics.Histogram:
		family.Type = dto.MetricType_SUMMARY.Enum()
		family.Metric = []*dto.Metric{{Summary: summaryOf(metric.Snapshot())}}
	default:
		return nil
	}
	return family
}

// summaryOf converts a histogram to a summary.
func summaryOf(histogram metrics.Histogram) *dto.Summary {
	summary := &dto.Summary{
		SampleCount: proto.Uint64(uint64(histogram.Count())), SampleSum: proto.Float64(float64(histogram.Sum())),
	}
	for index, value := range histogram.Percentiles(quantiles) {
		summary.Quantile = append(summary.Quantile, &dto.Quantile{Quantile: proto.Float64(quantiles[index]), Value: proto.Float64(value)})
	}
	return summary
}

// sanitise replaces the characters of a name that are invalid in names of Prometheus metrics.
func sanitise(name string) string { return strings.NewReplacer(".", "_", "-", "_").Replace(name) }

// help returns the help text of a metric.
func help(name string) string {
	return fmt.Sprintf("Metric %s of dotterelgw, see docs/OPERATIONS.md.", name)
}
