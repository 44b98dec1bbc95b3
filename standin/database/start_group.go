package database

import (
	"context"
	"errors"
	"fmt"

	"dotterelgw/core/ids"
)

// StartGroup creates and runs the servers of one group until the context ends. The first is the primary and the others
// follow it. The settings apply to all servers; their ids are settings.ID followed by "-1", "-2" and so on. The
// returned function closes the servers and waits until they have stopped.
func StartGroup(ctx context.Context, settings Settings, count int, options ...Option) ([]*Server, func() error, error) {
	if settings.ID == "" {
		settings.ID = "db"
	}
	var servers []*Server
	var peers []Peer
	for index := range count {
		own := settings
		own.ID = ids.BackendServerID(fmt.Sprintf("%s-%d", settings.ID, index+1))
		own.Role = Primary
		if index > 0 {
			own.Role, own.Primary = Replica, servers[0].Address()
		}
		server, err := New(own, options...)
		if err != nil {
			for _, other := range servers {
				other.Close()
			}
			return nil, nil, fmt.Errorf("server %s: %w", own.ID, err)
		}
		servers = append(servers, server)
		peers = append(peers, Peer{ID: own.ID, Address: server.Address()})
	}
	done := make(chan error, count)
	for _, server := range servers {
		server.settings.Servers = peers
		go func() { done <- server.Run(ctx) }()
	}
	closeAll := func() error {
		var failed error
		for _, server := range servers {
			server.Close()
		}
		for range servers {
			failed = errors.Join(failed, <-done)
		}
		return failed
	}
	return servers, closeAll, nil
}
