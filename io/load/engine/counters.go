package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// metricsTimeout bounds reading the metrics of one proxy.
const metricsTimeout = 5 * time.Second

// counters returns the counters of each reachable proxy by the name of the proxy, and the names of the proxies whose
// counters could not be read.
func (target *Target) counters(ctx context.Context) (counters map[string]map[string]int64, missing []string) {
	counters = map[string]map[string]int64{}
	for _, proxy := range target.Proxies {
		if proxy.Admin == "" {
			missing = append(missing, proxy.Name)
			continue
		}
		counts, err := target.fetchCounters(ctx, proxy.Admin+"/metrics")
		if err != nil {
			missing = append(missing, proxy.Name+" ("+err.Error()+")")
			continue
		}
		counters[proxy.Name] = counts
	}
	return counters, missing
}

func (target *Target) fetchCounters(ctx context.Context, url string) (map[string]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	client := target.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(response.Status)
	}
	var metrics map[string]struct {
		Count int64 `json:"count"`
	}
	if err := json.NewDecoder(response.Body).Decode(&metrics); err != nil {
		return nil, err
	}
	counters := map[string]int64{}
	for name, metric := range metrics {
		counters[name] = metric.Count
	}
	return counters, nil
}

// counterIncrease returns the increase of a counter, summed over all proxies. A counter that decreased was reset by a
// restart of the proxy, so its increase is counted from 0.
func counterIncrease(before, after map[string]map[string]int64, name string) int64 {
	sum := int64(0)
	for proxy, counters := range after {
		increase := counters[name] - before[proxy][name]
		if increase < 0 {
			increase = counters[name]
		}
		sum += increase
	}
	return sum
}
