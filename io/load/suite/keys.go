package suite

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"dotterelgw/core/ids"
	"dotterelgw/standin/fleet"
)

const (
	withdrawalVMs = 8
	// keyOrganisations is the number of keys that are withdrawn at a time, one of each organisation.
	keyOrganisations = 10
	// statementPause keeps the load small enough that latencies stay below the resolution of the measurement.
	statementPause = 25 * time.Millisecond
	// loadBefore is the time for which the sessions of a batch send statements before the withdrawal.
	loadBefore = 300 * time.Millisecond
	// outageLength covers the time in which a withdrawn key may still be accepted.
	outageLength = 6 * time.Second
	// pauseLength leaves time for statements after the pause and before the bound.
	pauseLength = 3 * time.Second
	// sessionsBound ends sessions whose key is never refused.
	sessionsBound = 12 * time.Second
	// recovery is the time that the VMs get after an outage or a pause.
	recovery = 2 * time.Second
	// inTransactionVMs is the number of VMs whose sessions are inside a transaction.
	inTransactionVMs = 2
)

const keyContract = `organisation = "%s"
rate = 5000.0
burst = 5000.0
[limits]
connections = 100
transactions = 20
queue = 200
queue_timeout_ms = 5000
[[routes]]
name = "main"
group = "g%d"
access = "auto"
`

// batch withdraws one key of each organisation at the same time.
type batch struct {
	name string
	// outage switches the key-value service off right after the acceptances, paused stops a VM before.
	outage bool
	paused ids.VMID
}

var batches = []batch{{name: "under load"}, {name: "under load"}, {name: "under load"}, {name: "outage after acceptance", outage: true}, {name: "one proxy paused for " + pauseLength.String(), paused: "vm8"}}

// withdrawal is the outcome of one withdrawal.
type withdrawal struct {
	// last is the time from the acceptance to the answer of the last accepted statement, inForce that until every VM held
	// the change.
	last, inForce time.Duration
	statements    int
	// otherwise counts the sessions that ended with another error than the refusal of a withdrawn key.
	otherwise int
}

// withdrawals measures how long withdrawn keys work.
func (suite *Suite) withdrawals(ctx context.Context, table table) error {
	running, end, err := suite.starter.Fleet(ctx, fleet.Options{
		Zones: []ids.AvailabilityZone{"a", "b", "c"}, VMs: withdrawalVMs, Groups: 2, Connections: 80, Slots: 8,
	})
	if err != nil {
		return err
	}
	defer end()
	keys, err := keysOf(ctx, running)
	if err != nil {
		return err
	}
	var all []withdrawal
	byName := map[string][]withdrawal{}
	var names []string
	for number, batch := range batches {
		done, err := withdrawBatch(ctx, running, batch, keys[number])
		if err != nil {
			return fmt.Errorf("withdrawals, %s: %w", batch.name, err)
		}
		if byName[batch.name] == nil {
			names = append(names, batch.name)
		}
		byName[batch.name] = append(byName[batch.name], done...)
		all = append(all, done...)
	}
	for _, name := range names {
		suite.sumWithdrawals(table, name, byName[name])
	}
	late := longest(all, func(one withdrawal) time.Duration { return one.last })
	var violations []string
	if late > withdrawalTarget {
		violations = append(violations, fmt.Sprintf("a withdrawn key was accepted %s after the acceptance of its withdrawal", late))
	}
	table.violate(violations)
	return nil
}

func (suite *Suite) sumWithdrawals(table table, name string, done []withdrawal) {
	table.experiment = fmt.Sprintf("key withdrawal, %s", name)
	statements, otherwise := 0, 0
	for _, one := range done {
		statements += one.statements
		otherwise += one.otherwise
	}
	if otherwise > 0 {
		suite.report.Notes = append(suite.report.Notes, fmt.Sprintf("%s: %d of %d sessions ended with another error than %s",
			table.experiment, otherwise, withdrawalVMs*len(done), withdrawnState))
	}
	last := longest(done, func(one withdrawal) time.Duration { return one.last })
	table.within(fmt.Sprintf("acceptance to last accepted statement, maximum of %d (%d statements)", len(done), statements), withdrawalTarget, last)
	table.within("acceptance to in force on 8 of 8, maximum", withdrawalTarget, longest(done, func(one withdrawal) time.Duration { return one.inForce }))
}

func longest(done []withdrawal, of func(withdrawal) time.Duration) time.Duration {
	return of(slices.MaxFunc(done, func(left, right withdrawal) int { return int(of(left) - of(right)) }))
}

func keyOrganisation(number int) ids.OrganisationID {
	return ids.OrganisationID(fmt.Sprintf("keys-%d", number+1))
}

// keysOf stores the contracts and gives each organisation a key for each batch.
func keysOf(ctx context.Context, running *fleet.Fleet) ([][]fleet.Key, error) {
	if err := running.ApplyGroups(ctx); err != nil {
		return nil, err
	}
	keys := make([][]fleet.Key, len(batches))
	for number := range keys {
		keys[number] = make([]fleet.Key, keyOrganisations)
	}
	failures := make([]error, keyOrganisations)
	var giving sync.WaitGroup
	for number := range keyOrganisations {
		giving.Go(func() {
			organisation := keyOrganisation(number)
			failures[number] = running.ApplyContract(ctx, organisation, fmt.Sprintf(keyContract, organisation, 1+number%2))
			for index := 0; index < len(batches) && failures[number] == nil; index++ {
				keys[index][number], failures[number] = running.GiveKey(ctx, organisation)
			}
		})
	}
	giving.Wait()
	return keys, errors.Join(failures...)
}

// withdrawBatch withdraws one key of each organisation while a session on each VM uses it.
func withdrawBatch(ctx context.Context, running *fleet.Fleet, batch batch, keys []fleet.Key) ([]withdrawal, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*sessionsBound)
	defer cancel()
	users := make([]*keyUsers, len(keys))
	for number, key := range keys {
		var err error
		if users[number], err = useKey(ctx, running, keyOrganisation(number), key); err != nil {
			return nil, err
		}
	}
	time.Sleep(loadBefore) // statements are under way on every session
	if batch.paused != "" {
		if err := running.VM(batch.paused).Pause(); err != nil {
			return nil, err
		}
		resume := time.AfterFunc(pauseLength, func() { _ = running.VM(batch.paused).Resume() })
		defer resume.Stop()
		defer func() { _ = running.VM(batch.paused).Resume() }()
	}
	var accepting, settling sync.WaitGroup
	failures := make([]error, len(keys))
	done := make([]withdrawal, len(keys))
	for number, key := range keys {
		accepting.Add(1)
		settling.Go(func() {
			revision, err := running.WithdrawKey(ctx, keyOrganisation(number), key.ID, batch.paused)
			accepted := time.Now()
			accepting.Done()
			if failures[number] = err; err != nil {
				return
			}
			done[number].inForce, failures[number] = untilInForce(ctx, running, revision, accepted)
			done[number].last = users[number].wait(accepted)
			done[number].statements, done[number].otherwise = users[number].count, users[number].otherwise
		})
	}
	accepting.Wait()
	if batch.outage {
		outage := time.Now()
		if err := running.Switch(ctx, running.Platform, map[string]any{"outage": true}); err != nil {
			return nil, err
		}
		settling.Wait()
		time.Sleep(max(0, outageLength-time.Since(outage)))
		if err := running.Switch(ctx, running.Platform, map[string]any{"outage": false}); err != nil {
			return nil, err
		}
	}
	settling.Wait()
	if batch.outage || batch.paused != "" {
		time.Sleep(recovery)
	}
	return done, errors.Join(failures...)
}

// inForceInterval is the time between two looks at the VMs' revisions.
const inForceInterval = 20 * time.Millisecond

// untilInForce returns the time from the acceptance until every VM reports the revision.
func untilInForce(ctx context.Context, running *fleet.Fleet, revision ids.Revision, accepted time.Time) (time.Duration, error) {
	bound := time.Now().Add(sessionsBound)
	for number := range running.Size() {
		vm := fleet.VMID(number + 1)
		for {
			// A VM that does not answer, such as a paused one, is asked again.
			held, err := running.Revision(ctx, vm)
			if err == nil && held >= revision {
				break
			}
			if time.Now().After(bound) || ctx.Err() != nil {
				return 0, fmt.Errorf("revision %d is not in force on %s: held %d (%w)", revision, vm, held, errors.Join(err, ctx.Err()))
			}
			time.Sleep(inForceInterval)
		}
	}
	return time.Since(accepted), nil
}

// keyUsers are sessions that use one key, one on each VM.
type keyUsers struct {
	running sync.WaitGroup

	mutex            sync.Mutex
	last             time.Time
	count, otherwise int
}

// useKey connects a session on each VM, which sends statements until one is refused.
func useKey(ctx context.Context, running *fleet.Fleet, organisation ids.OrganisationID, key fleet.Key) (*keyUsers, error) {
	users := &keyUsers{}
	for number := range running.Size() {
		conn, err := pgconn.Connect(ctx, running.DSN(fleet.VMID(number+1), organisation, key, "main"))
		if err != nil {
			return nil, fmt.Errorf("connecting with a key of %s: %w", organisation, err)
		}
		begin := ""
		if number < inTransactionVMs {
			begin = "BEGIN READ ONLY"
		}
		users.running.Go(func() { users.use(ctx, conn, begin) })
	}
	return users, nil
}

func (users *keyUsers) use(ctx context.Context, conn *pgconn.PgConn, begin string) {
	defer func() { _ = conn.Close(context.WithoutCancel(ctx)) }()
	if _, err := conn.Exec(ctx, begin).ReadAll(); err != nil {
		users.end(err)
		return
	}
	for {
		if _, err := conn.Exec(ctx, constant).ReadAll(); err != nil {
			users.end(err)
			return
		}
		answered := time.Now()
		users.mutex.Lock()
		users.count++
		if answered.After(users.last) {
			users.last = answered
		}
		users.mutex.Unlock()
		time.Sleep(statementPause)
	}
}

// withdrawnState is the SQLSTATE with which a withdrawn key ends a session.
const withdrawnState = "28000"

// end notes with which error a session ended.
func (users *keyUsers) end(err error) {
	var refused *pgconn.PgError
	if errors.As(err, &refused) && refused.Code == withdrawnState {
		return
	}
	users.mutex.Lock()
	defer users.mutex.Unlock()
	users.otherwise++
}

// wait waits until every session was refused, and returns the time from the acceptance to the last accepted statement.
func (users *keyUsers) wait(accepted time.Time) time.Duration {
	users.running.Wait()
	return max(0, users.last.Sub(accepted))
}
