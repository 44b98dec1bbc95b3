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
	// keyOrganisations is the number of keys that are withdrawn at the same time, one for each organisation.
	keyOrganisations = 10
	// statementPause limits the load, so that latencies stay below the resolution of the measurement.
	statementPause = 25 * time.Millisecond
	// loadLeadTime is the time for which the sessions of a batch send statements before the withdrawal.
	loadLeadTime = 300 * time.Millisecond
	// outageLength exceeds the time for which a withdrawn key may still be accepted.
	outageLength = 6 * time.Second
	// pauseLength leaves time for statements between the end of the pause and the withdrawal target.
	pauseLength = 3 * time.Second
	// sessionTimeout bounds the wait for a revision to come into force; four times as long bounds a whole batch, so that
	// sessions whose key is never refused end.
	sessionTimeout = 12 * time.Second
	// recoveryPause is the time for the VMs to recover after an outage or a pause.
	recoveryPause = 2 * time.Second
	// inTransactionVMs is the number of VMs on which the sessions send their statements inside a transaction.
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

// batch is a set of simultaneous withdrawals, one key for each organisation.
type batch struct {
	name string
	// outage disables the key-value service right after all withdrawals have been accepted. paused is the VM that is paused
	// before the withdrawals, if any.
	outage bool
	paused ids.VMID
}

var batches = []batch{{name: "under load"}, {name: "under load"}, {name: "under load"}, {name: "outage after acceptance", outage: true}, {name: "one proxy paused for " + pauseLength.String(), paused: "vm8"}}

// withdrawal is the outcome of one withdrawal.
type withdrawal struct {
	// lastAccepted is the time from the acceptance of the withdrawal to the response of the last accepted statement. inForce
	// is the time until every VM had applied the change.
	lastAccepted, inForce time.Duration
	statements            int
	// otherErrors counts the sessions that ended with an error other than the refusal of a withdrawn key.
	otherErrors int
}

// withdrawals measures for how long withdrawn keys are still accepted.
func (suite *Suite) withdrawals(ctx context.Context, table table) error {
	running, end, err := suite.starter.Fleet(ctx, fleet.Options{
		Zones: []ids.AvailabilityZone{"a", "b", "c"}, VMs: withdrawalVMs, Groups: 2, Connections: 80, Slots: 8,
	})
	if err != nil {
		return err
	}
	defer end()
	keys, err := createKeys(ctx, running)
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
		suite.addWithdrawalRows(table, name, byName[name])
	}
	late := maxDuration(all, func(one withdrawal) time.Duration { return one.lastAccepted })
	var violations []string
	if late > withdrawalTarget {
		violations = append(violations, fmt.Sprintf("a withdrawn key was accepted %s after the acceptance of its withdrawal", late))
	}
	table.addViolations(violations)
	return nil
}

func (suite *Suite) addWithdrawalRows(table table, name string, done []withdrawal) {
	table.experiment = fmt.Sprintf("key withdrawal, %s", name)
	statements, otherErrors := 0, 0
	for _, one := range done {
		statements += one.statements
		otherErrors += one.otherErrors
	}
	if otherErrors > 0 {
		suite.report.Notes = append(suite.report.Notes, fmt.Sprintf("%s: %d of %d sessions ended with another error than %s",
			table.experiment, otherErrors, withdrawalVMs*len(done), withdrawnSQLState))
	}
	lastAccepted := maxDuration(done, func(one withdrawal) time.Duration { return one.lastAccepted })
	table.addMaxDuration(fmt.Sprintf("acceptance to last accepted statement, maximum of %d (%d statements)", len(done), statements), withdrawalTarget, lastAccepted)
	table.addMaxDuration("acceptance to in force on 8 of 8, maximum", withdrawalTarget, maxDuration(done, func(one withdrawal) time.Duration { return one.inForce }))
}

func maxDuration(done []withdrawal, of func(withdrawal) time.Duration) time.Duration {
	return of(slices.MaxFunc(done, func(left, right withdrawal) int { return int(of(left) - of(right)) }))
}

func keyOrganisation(number int) ids.OrganisationID {
	return ids.OrganisationID(fmt.Sprintf("keys-%d", number+1))
}

// createKeys applies the contracts and creates one key per batch for each organisation.
func createKeys(ctx context.Context, running *fleet.Fleet) ([][]fleet.Key, error) {
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
				keys[index][number], failures[number] = running.CreateKey(ctx, organisation)
			}
		})
	}
	giving.Wait()
	return keys, errors.Join(failures...)
}

// withdrawBatch withdraws one key of each organisation while a session on each VM uses it.
func withdrawBatch(ctx context.Context, running *fleet.Fleet, batch batch, keys []fleet.Key) ([]withdrawal, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*sessionTimeout)
	defer cancel()
	sessions := make([]*keySessions, len(keys))
	for number, key := range keys {
		var err error
		if sessions[number], err = openSessions(ctx, running, keyOrganisation(number), key); err != nil {
			return nil, err
		}
	}
	time.Sleep(loadLeadTime) // until all sessions are sending statements
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
			done[number].inForce, failures[number] = waitInForce(ctx, running, revision, accepted)
			done[number].lastAccepted = sessions[number].wait(accepted)
			done[number].statements, done[number].otherErrors = sessions[number].count, sessions[number].otherErrors
		})
	}
	accepting.Wait()
	if batch.outage {
		outage := time.Now()
		if err := running.SetSwitches(ctx, running.Platform, map[string]any{"outage": true}); err != nil {
			return nil, err
		}
		settling.Wait()
		time.Sleep(max(0, outageLength-time.Since(outage)))
		if err := running.SetSwitches(ctx, running.Platform, map[string]any{"outage": false}); err != nil {
			return nil, err
		}
	}
	settling.Wait()
	if batch.outage || batch.paused != "" {
		time.Sleep(recoveryPause)
	}
	return done, errors.Join(failures...)
}

// revisionPollInterval is the time between two polls of a VM's revision.
const revisionPollInterval = 20 * time.Millisecond

// waitInForce waits until every VM reports the revision, and returns the time since the acceptance.
func waitInForce(ctx context.Context, running *fleet.Fleet, revision ids.Revision, accepted time.Time) (time.Duration, error) {
	deadline := time.Now().Add(sessionTimeout)
	for number := range running.Size() {
		vm := fleet.VMID(number + 1)
		for {
			// A VM that does not respond, such as a paused one, is polled again.
			applied, err := running.Revision(ctx, vm)
			if err == nil && applied >= revision {
				break
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return 0, fmt.Errorf("revision %d is not in force on %s, which has revision %d (%w)", revision, vm, applied, errors.Join(err, ctx.Err()))
			}
			time.Sleep(revisionPollInterval)
		}
	}
	return time.Since(accepted), nil
}

// keySessions is a set of sessions with the same key, one on each VM.
type keySessions struct {
	running sync.WaitGroup

	mutex              sync.Mutex
	last               time.Time
	count, otherErrors int
}

// openSessions opens a session on each VM. The sessions send statements until one is refused.
func openSessions(ctx context.Context, running *fleet.Fleet, organisation ids.OrganisationID, key fleet.Key) (*keySessions, error) {
	sessions := &keySessions{}
	for number := range running.Size() {
		conn, err := pgconn.Connect(ctx, running.DSN(fleet.VMID(number+1), organisation, key, "main"))
		if err != nil {
			return nil, fmt.Errorf("connecting with a key of %s: %w", organisation, err)
		}
		begin := ""
		if number < inTransactionVMs {
			begin = "BEGIN READ ONLY"
		}
		sessions.running.Go(func() { sessions.sendStatements(ctx, conn, begin) })
	}
	return sessions, nil
}

func (sessions *keySessions) sendStatements(ctx context.Context, conn *pgconn.PgConn, begin string) {
	defer func() { _ = conn.Close(context.WithoutCancel(ctx)) }()
	if _, err := conn.Exec(ctx, begin).ReadAll(); err != nil {
		sessions.recordError(err)
		return
	}
	for {
		if _, err := conn.Exec(ctx, constantStatement).ReadAll(); err != nil {
			sessions.recordError(err)
			return
		}
		answered := time.Now()
		sessions.mutex.Lock()
		sessions.count++
		if answered.After(sessions.last) {
			sessions.last = answered
		}
		sessions.mutex.Unlock()
		time.Sleep(statementPause)
	}
}

// withdrawnSQLState is the SQLSTATE of the error that ends the sessions of a withdrawn key.
const withdrawnSQLState = "28000"

// recordError counts the error that ended a session, unless it is the refusal of a withdrawn key.
func (sessions *keySessions) recordError(err error) {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) && pgErr.Code == withdrawnSQLState {
		return
	}
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	sessions.otherErrors++
}

// wait waits until all sessions have ended, and returns the time from the acceptance to the last accepted statement.
func (sessions *keySessions) wait(accepted time.Time) time.Duration {
	sessions.running.Wait()
	return max(0, sessions.last.Sub(accepted))
}
