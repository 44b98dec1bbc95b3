package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// promotions is a stand-in for the service that promotes databases.
type promotions struct {
	group   *group
	record  *record
	address string

	mutex sync.Mutex
	// away is set while the service turns every call away.
	away bool
	// wanted is the database that the last call named.
	wanted string
}

// newPromotions starts the service.
func newPromotions(group *group, record *record) (*promotions, error) {
	listener, err := net.Listen("tcp", loopback(promotionHost)+":0")
	if err != nil {
		return nil, fmt.Errorf("starting the promotion service: %w", err)
	}
	service := &promotions{group: group, record: record, address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, http.HandlerFunc(service.promote)) }()
	return service, nil
}

// setAway makes the service turn calls away, or accept them again.
func (service *promotions) setAway(away bool) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.away = away
	service.record.note("the promotion service is away: %v", away)
}

// target returns the database that the last call named.
func (service *promotions) target() string {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.wanted
}

// promote handles a call.
func (service *promotions) promote(writer http.ResponseWriter, request *http.Request) {
	var body struct{ Service, ID string }
	if request.URL.Path != "/promotion" || json.NewDecoder(request.Body).Decode(&body) != nil || body.Service != service.group.name {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	service.mutex.Lock()
	service.wanted = body.ID
	away := service.away
	service.mutex.Unlock()
	status := http.StatusOK
	switch {
	case away:
		status = http.StatusServiceUnavailable
	case !service.group.promote(body.ID):
		status = http.StatusConflict
	}
	service.record.note("POST /promotion of %s by %s with token %s is answered with %d", body.ID,
		request.Header.Get("X-Dotterelgw-Duty-Holder"), request.Header.Get("X-Dotterelgw-Fence-Token"), status)
	writer.WriteHeader(status)
}
