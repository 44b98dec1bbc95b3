package failover

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

// sqlStateHigherTermPromised is reported by a server that refuses a call because it has promised a higher term.
const sqlStateHigherTermPromised = "55000"

// call identifies a group function call to a server that is in flight.
type call struct {
	kind   failover.Kind
	server ids.BackendServerID
	term   ids.Term
}

// receivedEvidence is the evidence of another watcher with the time at which it was received.
type receivedEvidence struct {
	evidence   []failover.Evidence
	receivedAt time.Duration
}

// supervisor watches one group and runs its promotions. Its goroutine owns the coordinator; other goroutines pass their results
// through the inbox.
type supervisor struct {
	executor *Executor
	group    config.GroupRecord
	ctx      context.Context
	cancel   context.CancelFunc
	inbox    chan func()
	active   atomic.Bool

	coordinator     *failover.Coordinator
	watchers        []member.Member
	rank            int
	inFlight        map[call]bool
	received        map[ids.VMID]receivedEvidence
	pendingRequests int
	state           string
}

// post runs the function on the goroutine of the supervisor.
func (supervisor *supervisor) post(run func()) {
	select {
	case supervisor.inbox <- run:
	case <-supervisor.ctx.Done():
	}
}

func (supervisor *supervisor) run() {
	defer supervisor.executor.running.Done()
	defer supervisor.cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-supervisor.ctx.Done():
			return
		case run := <-supervisor.inbox:
			run()
		case <-timer.C:
			supervisor.tick()
			timer.Reset(supervisor.tickInterval())
		}
		if state := supervisor.coordinator.State(); state != supervisor.state {
			record := supervisor.coordinator.Record()
			_ = supervisor.executor.logger.Log("msg", "promotion", "group", supervisor.group.Group, "state", state, "term", record.Term,
				"step", record.Step, "primary", record.Primary, "candidate", record.Candidate)
			supervisor.state = state
			if supervisor.coordinator.Active() && !supervisor.active.Load() {
				timer.Reset(activeTickInterval)
			}
			supervisor.active.Store(supervisor.coordinator.Active())
		}
	}
}

func (supervisor *supervisor) tickInterval() time.Duration {
	if supervisor.coordinator.Active() {
		return activeTickInterval
	}
	return idleTickInterval
}

func (supervisor *supervisor) tick() {
	own := supervisor.executor.groups.Evidence(supervisor.group.Group)
	if own == nil {
		return
	}
	// io/group polls a new group continuously only after SetWatched.
	supervisor.executor.groups.SetWatched(supervisor.group.Group, true)
	now := supervisor.executor.now()
	tickInput := failover.TickInput{Own: own, Rank: supervisor.rank, Watchers: len(supervisor.watchers)}
	for _, watcher := range supervisor.watchers {
		if other, ok := supervisor.received[watcher.ID]; ok && now-other.receivedAt <= maxEvidenceAge {
			tickInput.Others = append(tickInput.Others, other.evidence)
		}
	}
	if supervisor.pendingRequests == 0 && supervisor.coordinator.NeedsOthers(own) {
		supervisor.requestEvidence()
	}
	supervisor.execute(supervisor.coordinator.Tick(now, tickInput))
}

// requestEvidence requests the evidence of the other watchers.
func (supervisor *supervisor) requestEvidence() {
	for _, watcher := range supervisor.watchers {
		if watcher.ID == supervisor.executor.self {
			continue
		}
		supervisor.pendingRequests++
		go func() {
			reply, err := supervisor.fetchEvidence(watcher)
			supervisor.post(func() {
				supervisor.pendingRequests--
				if err == nil {
					supervisor.received[watcher.ID] = receivedEvidence{evidence: evidenceFromReply(reply), receivedAt: supervisor.executor.now()}
				}
			})
		}()
	}
}

func (supervisor *supervisor) fetchEvidence(watcher member.Member) (*peerpb.EvidenceReply, error) {
	client, err := supervisor.executor.peers.Peer(watcher.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to watcher %s: %w", watcher.ID, err)
	}
	ctx, cancel := context.WithTimeout(supervisor.ctx, evidenceTimeout)
	defer cancel()
	reply, err := client.Evidence(ctx, &peerpb.EvidenceRequest{Group: string(supervisor.group.Group)})
	if err != nil {
		return nil, fmt.Errorf("get evidence of watcher %s: %w", watcher.ID, err)
	}
	return reply, nil
}

// applyTerm processes a term record from the configuration.
func (supervisor *supervisor) applyTerm(record config.TermRecord, revision ids.Revision) {
	supervisor.executor.groups.ApplyTerm(supervisor.group.Group, record)
	supervisor.execute(supervisor.coordinator.Applied(supervisor.executor.now(), record, revision))
}

// execute runs each of the coordinator's commands in its own goroutine, which passes the result through the inbox. A call that
// is in flight already is not repeated.
func (supervisor *supervisor) execute(commands []failover.Command) {
	for _, command := range commands {
		switch command.Kind {
		case failover.Swap:
			go supervisor.compareAndSwap(command)
		case failover.Read:
			go supervisor.readRecord()
		default:
			key := call{command.Kind, command.Server.ID, command.Term}
			if !supervisor.inFlight[key] {
				supervisor.inFlight[key] = true
				go supervisor.call(key, command)
			}
		}
	}
}

// compareAndSwap stores a term record if the revision is the expected one. After an error it is unknown whether the
// record was stored.
func (supervisor *supervisor) compareAndSwap(command failover.Command) {
	ctx, cancel := context.WithTimeout(supervisor.ctx, storeTimeout)
	defer cancel()
	result, revision := failover.SwapUnknown, ids.Revision(0)
	value, err := config.Encode(command.Record)
	if err == nil {
		var stored bool
		revision, stored, err = supervisor.executor.store.CompareAndSwap(ctx, config.TermKey(supervisor.group.Group), command.Expected, value)
		if err == nil && stored {
			result = failover.SwapStored
			switch command.Record.Step {
			case failover.Fencing:
				supervisor.executor.counters.claims.Inc(1)
			case failover.Steady:
				if command.Record.Candidate != "" {
					supervisor.executor.counters.completed.Inc(1)
				}
			}
		} else if err == nil {
			result = failover.SwapConflict
		}
	}
	if err != nil {
		_ = supervisor.executor.logger.Log("msg", "writing term record failed, outcome unknown", "group", supervisor.group.Group, "term", command.Record.Term, "err", err)
	}
	supervisor.post(func() {
		if result == failover.SwapStored {
			supervisor.executor.groups.ApplyTerm(supervisor.group.Group, command.Record)
		}
		supervisor.execute(supervisor.coordinator.Swapped(supervisor.executor.now(), result, command.Record, revision))
	})
}

// readRecord reads the term record from the key-value service.
func (supervisor *supervisor) readRecord() {
	ctx, cancel := context.WithTimeout(supervisor.ctx, storeTimeout)
	defer cancel()
	var record config.TermRecord
	entry, found, err := supervisor.executor.store.Get(ctx, config.TermKey(supervisor.group.Group))
	if err == nil && found {
		record, err = config.Decode[config.TermRecord](entry)
	}
	if err != nil {
		_ = supervisor.executor.logger.Log("msg", "reading term record failed", "group", supervisor.group.Group, "err", err)
	}
	supervisor.post(func() {
		if err == nil && found {
			supervisor.executor.groups.ApplyTerm(supervisor.group.Group, record)
		}
		supervisor.execute(supervisor.coordinator.Read(supervisor.executor.now(), record, entry.Revision, err != nil))
	})
}

// call calls a group function at a server and passes the result to the coordinator.
func (supervisor *supervisor) call(key call, command failover.Command) {
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
	ctx, cancel := context.WithTimeout(supervisor.ctx, timeout)
	defer cancel()
	status, err := supervisor.executor.groups.Call(ctx, command.Server.Address, query)
	status.Server = command.Server.ID
	supervisor.executor.counters.calls.Inc(1)
	var failure *group.ServerError
	refused := errors.As(err, &failure) && failure.SQLState == sqlStateHigherTermPromised
	if err != nil {
		supervisor.executor.counters.failed.Inc(1)
		_ = supervisor.executor.logger.Log("msg", "group function failed", "group", supervisor.group.Group, "server", command.Server.ID, "query", query, "err", err)
	}
	supervisor.post(func() {
		delete(supervisor.inFlight, key)
		if err != nil && !refused {
			return
		}
		now := supervisor.executor.now()
		switch command.Kind {
		case failover.Fence:
			supervisor.execute(supervisor.coordinator.Fenced(now, command.Term, status, refused))
		case failover.QueryStatus:
			supervisor.execute(supervisor.coordinator.StatusReceived(now, status))
		case failover.Promote:
			supervisor.execute(supervisor.coordinator.Promoted(now, command.Term, status, refused))
		}
	})
}
