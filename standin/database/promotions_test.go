package database

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5"
)

// Guards against promotions after which the servers of a group hold different logs or files. Writers run throughout;
// each time one server is partitioned and the more advanced of the other two is fenced and promoted.
func TestRepeatedPromotions(t *testing.T) {
	servers := startGroup(t)
	execute(t, connect(t, servers[0], ""), "CREATE TABLE t (id BIGINT)")
	random := rand.New(rand.NewPCG(1, 2))
	var stopped atomic.Bool
	var written atomic.Int64
	var writers sync.WaitGroup
	for _, server := range servers {
		writers.Go(func() {
			for !stopped.Load() {
				connection, err := pgx.Connect(context.Background(), "postgres://tester@"+server.Address()+"/shop?sslmode=disable")
				if err != nil {
					t.Error(err)
					return
				}
				for err == nil && !stopped.Load() {
					if _, err = connection.Exec(context.Background(), "INSERT INTO t VALUES ($1)", written.Add(1)); err != nil {
						break
					}
				}
				_ = connection.Close(context.Background())
			}
		})
	}
	for term := 2; term <= 12; term++ {
		before := written.Load()
		eventually(t, "writes", func() bool { return written.Load() > before+5 })
		isolated := random.IntN(3)
		servers[isolated].Change(func(state *Switches) { state.Partitioned = []string{"replication"} })
		before = written.Load()
		eventually(t, "writes", func() bool { return written.Load() > before+5 })
		best := -1
		for index, server := range servers {
			if index == isolated {
				continue
			}
			status := runControl(t, connect(t, server, "&user="+ControlUser), "SELECT * FROM group_fence('%d')", term)
			if best < 0 || status.LogTerm > servers[best].Status().LogTerm ||
				status.LogTerm == servers[best].Status().LogTerm && status.Received > servers[best].Status().Received {
				best = index
			}
		}
		start := servers[best].Status().Received
		runControl(t, connect(t, servers[best], "&user="+ControlUser), "SELECT * FROM group_promote('%d', '%d')", term, start)
		for index, server := range servers {
			if index != best {
				runControl(t, connect(t, server, "&user="+ControlUser), "SELECT * FROM group_follow('%d', '%s', '%d')", term, servers[best].Address(), start)
			}
		}
		servers[isolated].Change(func(state *Switches) { state.Partitioned = nil })
	}
	stopped.Store(true)
	writers.Wait()
	want := slices.MaxFunc(servers, func(left, right *Server) int { return int(left.Status().Written) - int(right.Status().Written) })
	for _, server := range servers {
		eventually(t, "replayed", func() bool {
			status := server.Status()
			return status.Replayed == status.Received && status.Received == want.Status().Received && status.LogTerm == want.Status().LogTerm
		})
		for index, record := range server.Records() {
			if other := want.Records()[index]; fmt.Sprint(record) != fmt.Sprint(other) {
				t.Fatalf("%s: record %d is %+v, want %+v", server.ID(), index, record, other)
			}
		}
		// Each record but the first inserted one row.
		rows := queryInt(t, connect(t, server, ""), "SELECT count(*) FROM t")
		if rows != int(server.Status().Replayed)-1 {
			t.Errorf("%s: %d rows for %d records", server.ID(), rows, server.Status().Replayed)
		}
	}
}
