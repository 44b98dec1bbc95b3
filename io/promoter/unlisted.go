package promoter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/membership"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
	"dotterelgw/io/observe"
)

// unlistedPollInterval is the time between two status requests to a member that is not registered.
const unlistedPollInterval = 500 * time.Millisecond

// process is what is known of the process of a member that is not registered.
type process string

// The states of such a process.
const (
	// processUnknown means that it was not yet asked.
	processUnknown process = "unknown"
	// processAnswers means that it runs.
	processAnswers process = "answers"
	// processSilent means that it can't be reached, though the primary may reach it.
	processSilent process = "silent"
	// processRefused means that its address refuses connections, at least those of this VM.
	processRefused process = "refused"
	// processEnded means that another server is at its address.
	processEnded process = "ended"
	// processIsolated means that no VM reaches it.
	processIsolated process = "isolated"
)

// unlistedMembers asks the members that are not registered at their addresses while this VM holds the duty. The store drops the registration
// of a process that is cut off from it, which still receives the log.
type unlistedMembers struct {
	groups   Groups
	reach    *reach
	eventLog *observe.EventLog

	mutex sync.Mutex
	// token is that of the duty for which members was filled. What was found in an earlier turn is not true of the present one.
	token   Token
	members map[ids.GroupID]map[membership.Member]*unlistedMember
}

// unlistedMember is one member that is not registered.
type unlistedMember struct {
	membership.Member
	group  ids.GroupID
	server *monitor.UnlistedServer

	// The mutex of unlistedMembers guards the fields below.
	process process
	// isolation counts the rounds in which no VM reached it.
	isolation membership.Isolation
	// endedAt is the time of the request that first found another server at its address; 0 before.
	endedAt time.Duration
	// asking is set while a status request is under way, askedAt is the time of the last one.
	asking  bool
	askedAt time.Duration
	// observed is the last answer; its SentAt is 0 before the first one.
	observed leader.Observation
}

func newUnlistedMembers(groups Groups, reach *reach, eventLog *observe.EventLog) *unlistedMembers {
	return &unlistedMembers{groups: groups, reach: reach, eventLog: eventLog, members: make(map[ids.GroupID]map[membership.Member]*unlistedMember)}
}

// set makes the members of the record that are not registered those of the group while this VM holds the duty with the token, and returns them.
func (unlisted *unlistedMembers) set(token Token, group ids.GroupID, record membership.Record, servers []*monitor.Server) []*unlistedMember {
	isListed := func(member membership.Member) bool {
		return slices.ContainsFunc(servers, func(server *monitor.Server) bool {
			return server.ID() == member.ID && server.Info().StartedMS == member.StartedMS
		})
	}
	unlisted.mutex.Lock()
	defer unlisted.mutex.Unlock()
	unlisted.begin(token)
	known := unlisted.members[group]
	for member, state := range known {
		if isListed(member) || !record.Contains(member) {
			state.server.Close()
			delete(known, member)
		}
	}
	var members []*unlistedMember
	for _, member := range record.Members {
		if isListed(member) || isSucceeded(member, servers) {
			continue
		}
		state, ok := known[member]
		if !ok {
			if known == nil {
				known = make(map[membership.Member]*unlistedMember)
				unlisted.members[group] = known
			}
			info := catalog.Server{ID: member.ID, Group: group, Address: member.Address, StartedMS: member.StartedMS}
			state = &unlistedMember{Member: member, group: group, server: unlisted.groups.NewUnlistedServer(info), process: processUnknown}
			known[member] = state
		}
		members = append(members, state)
	}
	return members
}

// begin forgets what was found in an earlier turn of the duty. The mutex must be held.
func (unlisted *unlistedMembers) begin(token Token) {
	if token == unlisted.token {
		return
	}
	for _, members := range unlisted.members {
		for _, member := range members {
			member.server.Close()
		}
	}
	clear(unlisted.members)
	unlisted.token = token
}

// isSucceeded reports whether a later process is registered under the identifier of the member, which would answer in its place.
func isSucceeded(member membership.Member, servers []*monitor.Server) bool {
	return slices.ContainsFunc(servers, func(server *monitor.Server) bool {
		return server.ID() == member.ID && server.Info().StartedMS > member.StartedMS
	})
}

// poll asks those of the members that were not asked for unlistedPollInterval, in the background. If one can't be reached, it asks the other
// VMs, too.
func (unlisted *unlistedMembers) poll(ctx context.Context, members []*unlistedMember) {
	now := clock.Now()
	unlisted.mutex.Lock()
	defer unlisted.mutex.Unlock()
	for _, member := range members {
		if member.asking || member.askedAt != 0 && now-member.askedAt < unlistedPollInterval {
			continue
		}
		member.asking, member.askedAt = true, now
		go func() {
			_, err := unlisted.sendControl(member, dbpool.Call{Kind: statement.Status})
			var asked []ids.VMID
			var answers map[ids.VMID]bool
			if err != nil && !isAlive(err) && !errors.Is(err, monitor.ErrEnded) {
				asked, answers = unlisted.reach.ask(ctx, member.group, member.Member)
			}
			unlisted.mutex.Lock()
			defer unlisted.mutex.Unlock()
			member.isolation.Update(now, isAlive(err), asked, answers)
			member.asking = false
			unlisted.noteIsolation(member, err)
		}()
	}
}

// noteIsolation records whether no VM reaches a member that this one can't reach. The mutex must be held.
func (unlisted *unlistedMembers) noteIsolation(member *unlistedMember, err error) {
	isUnreached := member.process == processSilent || member.process == processRefused
	switch {
	case isUnreached && member.isolation.IsComplete():
		unlisted.setProcess(member, processIsolated, member.observed.Status, err)
	case member.process == processIsolated && !member.isolation.IsComplete():
		unlisted.setProcess(member, processSilent, member.observed.Status, err)
	}
}

// sendControl sends the call to the member and records what its answer tells.
func (unlisted *unlistedMembers) sendControl(member *unlistedMember, call dbpool.Call) (leader.Status, error) {
	sentAt := clock.Now()
	status, err := member.server.SendControl(call)
	unlisted.mutex.Lock()
	defer unlisted.mutex.Unlock()
	switch {
	case err == nil:
		member.observed = leader.Observation{Status: status, SentAt: sentAt}
		unlisted.setProcess(member, processAnswers, status, err)
	case isAlive(err):
		unlisted.setProcess(member, processAnswers, status, err)
	case errors.Is(err, monitor.ErrEnded):
		if member.process != processEnded {
			member.endedAt = sentAt
		}
		unlisted.setProcess(member, processEnded, status, err)
	case member.process == processIsolated:
	case errors.Is(err, monitor.ErrRefused):
		unlisted.setProcess(member, processRefused, status, err)
	default:
		unlisted.setProcess(member, processSilent, status, err)
	}
	return status, err
}

// isAlive reports whether the outcome of a control statement shows that the process runs: it answered, if only with a refusal.
func isAlive(err error) bool {
	var refused *dbpool.RefusedError
	return err == nil || errors.Is(err, monitor.ErrBusy) || errors.As(err, &refused) && !errors.Is(err, monitor.ErrEnded)
}

// setProcess records and logs what is known of the process. The mutex must be held.
func (unlisted *unlistedMembers) setProcess(member *unlistedMember, process process, status leader.Status, err error) {
	if member.process == process {
		return
	}
	member.process = process
	unlisted.eventLog.Event("member_unlisted", "group", member.group, "server", member.ID, "born", member.StartedMS, "address", member.Address,
		"process", process, "role", status.Role, "position", status.Received.Log, "err", err)
}

// servers returns what the members have answered, for the record of the members.
func (unlisted *unlistedMembers) servers(members []*unlistedMember) []membership.Server {
	unlisted.mutex.Lock()
	defer unlisted.mutex.Unlock()
	servers := make([]membership.Server, 0, len(members))
	for _, member := range members {
		observed := member.observed
		hasEnded, endedAt := member.ended()
		servers = append(servers, membership.Server{
			Member: member.Member, Unlisted: true, Ended: hasEnded, EndedAt: endedAt, Observed: observed.SentAt != 0,
			Silent: member.process != processAnswers, Primary: observed.Role == catalog.RolePrimary, Term: observed.Term,
			Received: observed.Received, ObservedAt: observed.SentAt,
		})
	}
	return servers
}

// ended reports whether the process counts as ended, and since when. The mutex of unlistedMembers must be held.
func (member *unlistedMember) ended() (hasEnded bool, at time.Duration) {
	if member.process == processIsolated {
		return true, member.isolation.Since()
	}
	return member.process == processEnded, member.endedAt
}

// answering returns those of the members that answer, as of the last time.
func (unlisted *unlistedMembers) answering(members []*unlistedMember) []membership.Member {
	unlisted.mutex.Lock()
	defer unlisted.mutex.Unlock()
	var answering []membership.Member
	for _, member := range members {
		if member.process == processAnswers {
			answering = append(answering, member.Member)
		}
	}
	return answering
}

// fence sends the call to the members. It returns those that answered as replicas, and that paused if the call is to pause, with their state.
// One that knows no term holds nothing: it has started again without its log.
func (unlisted *unlistedMembers) fence(members []*unlistedMember, call dbpool.Call) (answered []*unlistedMember, states []handover.Member) {
	var mutex sync.Mutex
	var calls sync.WaitGroup
	for _, member := range members {
		calls.Go(func() {
			status, err := unlisted.sendControl(member, call)
			isPaused := call.Kind != statement.Pause || status.PausedTerm >= call.Term
			if err != nil || !isPaused || status.Role != catalog.RoleReplica || status.Term == 0 {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			answered = append(answered, member)
			states = append(states, handover.Member{
				ID: member.ID, Observed: true, Role: status.Role, Term: status.Term, Received: status.Received, PausedTerm: status.PausedTerm,
			})
		})
	}
	calls.Wait()
	return answered, states
}

// isPaused reports whether all of the members are paused for the term.
func (unlisted *unlistedMembers) isPaused(members []*unlistedMember, term ids.Term) bool {
	answered, _ := unlisted.fence(members, dbpool.Call{Kind: statement.Status})
	return len(answered) == len(members) && !slices.ContainsFunc(answered, func(member *unlistedMember) bool {
		unlisted.mutex.Lock()
		defer unlisted.mutex.Unlock()
		return member.observed.PausedTerm < term
	})
}

// resume makes the members of the group receive again that were paused up to the given term.
func (unlisted *unlistedMembers) resume(group ids.GroupID, term ids.Term) {
	unlisted.mutex.Lock()
	var paused []*unlistedMember
	for _, member := range unlisted.members[group] {
		if held := member.observed.PausedTerm; held != 0 && held <= term {
			paused = append(paused, member)
		}
	}
	unlisted.mutex.Unlock()
	var calls sync.WaitGroup
	for _, member := range paused {
		calls.Go(func() {
			_, err := unlisted.sendControl(member, dbpool.Call{Kind: statement.Resume})
			unlisted.eventLog.Event("server_resumed", "group", group, "server", member.ID, "registered", false, "err", err)
		})
	}
	calls.Wait()
}
