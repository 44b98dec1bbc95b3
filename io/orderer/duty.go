package orderer

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"dotterelgw/core/config"
	"dotterelgw/core/failover"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/io/group"
	"dotterelgw/io/peer/peerpb"
)

// refusedState is the SQLSTATE of a server that has promised a higher term.
const refusedState = "55000"

// order identifies an order to a server that is under way.
type order struct {
	kind   failover.Kind
	server ids.BackendServerID
	term   ids.Term
}

// answer is the evidence of another watcher with the time of its arrival.
type answer struct {
	evidence []failover.Evidence
	at       time.Duration
}

// duty is the watch over one group. Its goroutine owns the plan; results come back through the inbox.
type duty struct {
	orderer *Orderer
	group   config.GroupRecord
	ctx     context.Context
	stop    context.CancelFunc
	inbox   chan func()
	active  atomic.Bool

	plan     *failover.Plan
	watchers []member.Member
	rank     int
	inFlight map[order]bool
	others   map[ids.VMID]answer
	asking   int
	state    string
}

func (duty *duty) post(run func()) {
	select {
	case duty.inbox <- run:
	case <-duty.ctx.Done():
	}
}

func (duty *duty) run() {
	defer duty.orderer.running.Done()
	defer duty.stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-duty.ctx.Done():
			return
		case run := <-duty.inbox:
			run()
		case <-timer.C:
			duty.tick()
			timer.Reset(duty.pause())
		}
		if state := duty.plan.State(); state != duty.state {
			record := duty.plan.Record()
			_ = duty.orderer.logger.Log("msg", "promotion", "group", duty.group.Group, "state", state, "term", record.Term,
				"step", record.Step, "primary", record.Primary, "candidate", record.Candidate)
			duty.state = state
			if duty.plan.Active() && !duty.active.Load() {
				timer.Reset(activeTickEvery)
			}
			duty.active.Store(duty.plan.Active())
		}
	}
}

func (duty *duty) pause() time.Duration {
	if duty.plan.Active() {
		return activeTickEvery
	}
	return tickEvery
}

func (duty *duty) tick() {
	own := duty.orderer.groups.Evidence(duty.group.Group)
	if own == nil {
		return
	}
	// A new group in io/group is not watched until it is told so.
	duty.orderer.groups.SetWatched(duty.group.Group, true)
	now := duty.orderer.now()
	situation := failover.Situation{Own: own, Rank: duty.rank, Watchers: len(duty.watchers)}
	for _, watcher := range duty.watchers {
		if other, ok := duty.others[watcher.ID]; ok && now-other.at <= evidenceFresh {
			situation.Others = append(situation.Others, other.evidence)
		}
	}
	if duty.asking == 0 && duty.plan.NeedsOthers(own) {
		duty.askOthers()
	}
	duty.execute(duty.plan.Tick(now, situation))
}

// askOthers asks the other watchers for their evidence.
func (duty *duty) askOthers() {
	for _, watcher := range duty.watchers {
		if watcher.ID == duty.orderer.self {
			continue
		}
		duty.asking++
		go func() {
			reply, err := duty.ask(watcher)
			duty.post(func() {
				duty.asking--
				if err == nil {
					duty.others[watcher.ID] = answer{evidence: fromReply(reply), at: duty.orderer.now()}
				}
			})
		}()
	}
}

func (duty *duty) ask(watcher member.Member) (*peerpb.EvidenceReply, error) {
	client, err := duty.orderer.peers.Peer(watcher.Address)
	if err != nil {
		return nil, fmt.Errorf("reach watcher %s: %w", watcher.ID, err)
	}
	ctx, cancel := context.WithTimeout(duty.ctx, evidenceTimeout)
	defer cancel()
	reply, err := client.Evidence(ctx, &peerpb.EvidenceRequest{Group: string(duty.group.Group)})
	if err != nil {
		return nil, fmt.Errorf("ask watcher %s: %w", watcher.ID, err)
	}
	return reply, nil
}

// applied takes in a term record, from the configuration or from this VM's own calls.
func (duty *duty) applied(record config.TermRecord, revision ids.Revision) {
	duty.orderer.groups.ApplyTerm(duty.group.Group, record)
	duty.execute(duty.plan.Applied(duty.orderer.now(), record, revision))
}

// execute carries out the plan's commands; each runs on its own and reports back through the inbox.
func (duty *duty) execute(commands []failover.Command) {
	for _, command := range commands {
		switch command.Kind {
		case failover.Swap:
			go duty.swap(command)
		case failover.Read:
			go duty.read()
		default:
			key := order{command.Kind, command.Server.ID, command.Term}
			if !duty.inFlight[key] {
				duty.inFlight[key] = true
				go duty.order(key, command)
			}
		}
	}
}

// swap stores a record. Any error leaves open whether it was stored.
func (duty *duty) swap(command failover.Command) {
	ctx, cancel := context.WithTimeout(duty.ctx, storeTimeout)
	defer cancel()
	result, revision := failover.SwapUnknown, ids.Revision(0)
	value, err := config.Encode(command.Record)
	if err == nil {
		var stored bool
		revision, stored, err = duty.orderer.store.CompareAndSwap(ctx, config.TermKey(duty.group.Group), command.Expected, value)
		if err == nil && stored {
			result = failover.SwapStored
			switch command.Record.Step {
			case failover.Fencing:
				duty.orderer.counters.claims.Inc(1)
			case failover.Steady:
				if command.Record.Candidate != "" {
					duty.orderer.counters.completed.Inc(1)
				}
			}
		} else if err == nil {
			result = failover.SwapConflict
		}
	}
	if err != nil {
		_ = duty.orderer.logger.Log("msg", "term record not confirmed", "group", duty.group.Group, "term", command.Record.Term, "err", err)
	}
	duty.post(func() {
		if result == failover.SwapStored {
			duty.orderer.groups.ApplyTerm(duty.group.Group, command.Record)
		}
		duty.execute(duty.plan.Swapped(duty.orderer.now(), result, command.Record, revision))
	})
}

// read settles what the key-value service holds.
func (duty *duty) read() {
	ctx, cancel := context.WithTimeout(duty.ctx, storeTimeout)
	defer cancel()
	var record config.TermRecord
	entry, found, err := duty.orderer.store.Get(ctx, config.TermKey(duty.group.Group))
	if err == nil && found {
		record, err = config.Decode[config.TermRecord](entry)
	}
	if err != nil {
		_ = duty.orderer.logger.Log("msg", "term record not read", "group", duty.group.Group, "err", err)
	}
	duty.post(func() {
		if err == nil && found {
			duty.orderer.groups.ApplyTerm(duty.group.Group, record)
		}
		duty.execute(duty.plan.Read(duty.orderer.now(), record, entry.Revision, err != nil))
	})
}

// order runs a group function at a server.
func (duty *duty) order(key order, command failover.Command) {
	timeout, query := failover.ProbeTimeout, "SELECT * FROM group_status()"
	switch command.Kind {
	case failover.Fence:
		query = fmt.Sprintf("SELECT * FROM group_fence('%d')", command.Term)
	case failover.Promote:
		query = fmt.Sprintf("SELECT * FROM group_promote('%d', '%d')", command.Term, command.Start)
		timeout = promoteTimeout
	case failover.Follow:
		query = fmt.Sprintf("SELECT * FROM group_follow('%d', '%s', '%d')", command.Term, command.Primary.Address, command.Start)
		timeout = promoteTimeout
	}
	ctx, cancel := context.WithTimeout(duty.ctx, timeout)
	defer cancel()
	status, err := duty.orderer.groups.Call(ctx, command.Server.Address, query)
	status.Server = command.Server.ID
	duty.orderer.counters.orders.Inc(1)
	var failure *group.ServerError
	refused := errors.As(err, &failure) && failure.SQLState == refusedState
	if err != nil {
		duty.orderer.counters.failed.Inc(1)
		_ = duty.orderer.logger.Log("msg", "order failed", "group", duty.group.Group, "server", command.Server.ID, "query", query, "err", err)
	}
	duty.post(func() {
		delete(duty.inFlight, key)
		if err != nil && !refused {
			return
		}
		now := duty.orderer.now()
		switch command.Kind {
		case failover.Fence:
			duty.execute(duty.plan.Fenced(now, command.Term, status, refused))
		case failover.Examine:
			duty.execute(duty.plan.Examined(now, status))
		case failover.Promote:
			duty.execute(duty.plan.Promoted(now, command.Term, status, refused))
		}
	})
}
