package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// metricsTimeout bounds the question to one proxy for its metrics.
const metricsTimeout = 5 * time.Second

// counters returns the counters of each proxy by its name; it fails if no proxy has an administration API.
func (target *Target) counters(ctx context.Context) (map[string]map[string]int64, error) {
	all := map[string]map[string]int64{}
	for _, proxy := range target.Proxies {
		if proxy.Admin == "" {
			continue
		}
		counters, err := target.read(ctx, proxy.Admin+"/metrics")
		if err != nil {
			return nil, fmt.Errorf("metrics of %s: %w", proxy.Name, err)
		}
		all[proxy.Name] = counters
	}
	if len(all) == 0 {
		return nil, errors.New("no proxy has an administration API")
	}
	return all, nil
}

func (target *Target) read(ctx context.Context, url string) (map[string]int64, error) {
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
	answer, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.New(answer.Status)
	}
	var metrics map[string]struct {
		Count int64 `json:"count"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&metrics); err != nil {
		return nil, err
	}
	counters := map[string]int64{}
	for name, metric := range metrics {
		counters[name] = metric.Count
	}
	return counters, nil
}

// growth returns how much a counter grew over all proxies; one that fell was reset by a restart and counts from 0.
func growth(before, after map[string]map[string]int64, name string) int64 {
	sum := int64(0)
	for proxy, counters := range after {
		grown := counters[name] - before[proxy][name]
		if grown < 0 {
			grown = counters[name]
		}
		sum += grown
	}
	return sum
}
