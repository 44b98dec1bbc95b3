package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"dotterelgw/core/ids"
	"dotterelgw/standin/fleet"
)

const (
	// withdrawalBound is the longest time for which a withdrawn key may still be accepted.
	withdrawalBound = 5 * time.Second
	// failoverBound is the longest time for which a group may be without a primary.
	failoverBound = 3 * time.Second
	// stepTimeout bounds steps that retry a request.
	stepTimeout = 15 * time.Second
	reads       = 20
)

var refusalID = regexp.MustCompile(`vm[0-9]+-[0-9a-z-]+`)

// connect opens a session of the organisation on the VM.
func (demo *demo) connect(ctx context.Context, vm ids.VMID, organisation ids.OrganisationID, route string) (*pgx.Conn, error) {
	conn, err := pgx.Connect(ctx, demo.fleet.DSN(vm, organisation, demo.keys[organisation], route))
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", vm, err)
	}
	return conn, nil
}

func (demo *demo) write(ctx context.Context) (string, error) {
	conn, err := demo.connect(ctx, "vm1", seixal, route)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	if _, err := conn.Exec(ctx, "CREATE TABLE bids (id BIGINT PRIMARY KEY, bin TEXT, cents BIGINT)"); err != nil {
		return "", fmt.Errorf("creating the table: %w", err)
	}
	tx, err := conn.Begin(ctx)
	if err != nil {
		return "", fmt.Errorf("beginning a transaction: %w", err)
	}
	for id := range 3 {
		if _, err := tx.Exec(ctx, "INSERT INTO bids VALUES ($1, $2, $3)", id, "oak offcuts", 1000+id); err != nil {
			return "", fmt.Errorf("inserting: %w", err)
		}
	}
	if err := tx.Commit(ctx); err != nil {
		return "", fmt.Errorf("committing: %w", err)
	}
	return "3 bids committed", nil
}

func (demo *demo) readReplica(ctx context.Context) (string, error) {
	before, err := demo.replicaReads(ctx, "vm1")
	if err != nil {
		return "", err
	}
	conn, err := demo.connect(ctx, "vm1", seixal, route)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	for range reads {
		if err := expectBids(ctx, conn, 3); err != nil {
			return "", err
		}
		time.Sleep(10 * time.Millisecond)
	}
	after, err := demo.replicaReads(ctx, "vm1")
	if err != nil {
		return "", err
	}
	if after == before {
		return "", errors.New("no read was served by a replica")
	}
	return fmt.Sprintf("%d of %d", after-before, reads), nil
}

func expectBids(ctx context.Context, conn *pgx.Conn, want int) error {
	var count int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM bids").Scan(&count); err != nil {
		return fmt.Errorf("counting bids: %w", err)
	}
	if count < want {
		return fmt.Errorf("stale read: %d bids, %d were acknowledged", count, want)
	}
	return nil
}

// replicaReads returns the VM's counter of statements that were routed to replicas.
func (demo *demo) replicaReads(ctx context.Context, vm ids.VMID) (int64, error) {
	metrics, err := demo.fleet.Metrics(ctx, vm)
	if err != nil {
		return 0, err
	}
	var counter struct {
		Count int64 `json:"count"`
	}
	if raw, ok := metrics["route_replica"]; ok {
		if err := json.Unmarshal(raw, &counter); err != nil {
			return 0, fmt.Errorf("decoding route_replica: %w", err)
		}
	}
	return counter.Count, nil
}

func (demo *demo) move(ctx context.Context) (string, error) {
	const moves = 10
	for number := range moves {
		writer, err := demo.connect(ctx, "vm1", seixal, route)
		if err != nil {
			return "", err
		}
		_, err = writer.Exec(ctx, "INSERT INTO bids VALUES ($1, 'slate', 5)", 100+number)
		_ = writer.Close(ctx)
		if err != nil {
			return "", fmt.Errorf("writing through vm1: %w", err)
		}
		reader, err := demo.connect(ctx, "vm2", seixal, route)
		if err != nil {
			return "", err
		}
		err = expectBids(ctx, reader, 4+number)
		_ = reader.Close(ctx)
		if err != nil {
			return "", fmt.Errorf("reading through vm2: %w", err)
		}
	}
	return fmt.Sprintf("%d of %d times", moves, moves), nil
}

func (demo *demo) refuse(ctx context.Context) (string, error) {
	conn, err := demo.connect(ctx, "vm1", frissito, string(seixal)+"/"+route)
	if err == nil {
		_ = conn.Close(ctx)
		return "", errors.New("the route was open to another organisation")
	}
	var refused *pgconn.PgError
	if !errors.As(err, &refused) || refused.Code != "42501" {
		return "", fmt.Errorf("expected SQLSTATE 42501: %w", err)
	}
	id := refusalID.FindString(refused.Detail)
	if id == "" {
		return "", fmt.Errorf("no refusal identifier in %q", refused.Detail)
	}
	explained, err := demo.fleet.RunControl(ctx, "refusal", "explain", id)
	if err != nil {
		return "", fmt.Errorf("explaining refusal %s: %w", id, err)
	}
	var record struct {
		Reason string `json:"reason"`
	}
	if err := json.Unmarshal(explained, &record); err != nil {
		return "", fmt.Errorf("decoding refusal %s: %w", id, err)
	}
	return fmt.Sprintf("SQLSTATE %s, refusal %s explained as %s", refused.Code, id, record.Reason), nil
}

func (demo *demo) withdraw(ctx context.Context) (string, error) {
	conn, err := demo.connect(ctx, "vm3", frissito, route)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	if _, err := conn.Exec(ctx, "SELECT 1"); err != nil {
		return "", fmt.Errorf("using the key: %w", err)
	}
	if _, err := demo.fleet.RunControl(ctx, "key", "withdraw", string(frissito), string(demo.keys[frissito].ID)); err != nil {
		return "", fmt.Errorf("withdrawing the key: %w", err)
	}
	began := time.Now()
	for time.Since(began) < withdrawalBound {
		if _, err = conn.Exec(ctx, "SELECT 1"); err != nil {
			return fmt.Sprintf("it stopped working after %d ms", time.Since(began).Milliseconds()), nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return "", fmt.Errorf("the key still worked after %s", withdrawalBound)
}

func (demo *demo) losePrimary(ctx context.Context) (string, error) {
	primary, err := demo.fleet.Primary(ctx, "g1")
	if err != nil {
		return "", err
	}
	conn, err := demo.connect(ctx, "vm1", seixal, route)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	demo.fleet.Databases[primary].Kill()
	began := time.Now()
	deadline, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	id, err := demo.writeUntilAcknowledged(deadline, 1000)
	if err != nil {
		return "", fmt.Errorf("after the loss of %s: %w", primary, err)
	}
	gap := time.Since(began)
	replacement, err := demo.fleet.Primary(ctx, "g1")
	if err != nil {
		return "", err
	}
	reader, err := demo.connect(ctx, "vm2", seixal, route)
	if err != nil {
		return "", err
	}
	defer func() { _ = reader.Close(ctx) }()
	if err := expectBids(ctx, reader, 14); err != nil {
		return "", fmt.Errorf("acknowledged bids were lost: %w", err)
	}
	if gap > failoverBound {
		return "", fmt.Errorf("no write was acknowledged for %s, at most %s allowed", gap, failoverBound)
	}
	return fmt.Sprintf("%s took over from %s; write %d was acknowledged %.2f s after the loss; no bid is missing", replacement, primary, id, gap.Seconds()), nil
}

// writeUntilAcknowledged inserts bids with new identifiers until one is acknowledged.
func (demo *demo) writeUntilAcknowledged(ctx context.Context, id int) (int, error) {
	var lastErr error
	for ; ctx.Err() == nil; id++ {
		if lastErr = demo.writeOnce(ctx, id); lastErr == nil {
			return id, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, fmt.Errorf("no write was acknowledged: %w", lastErr)
}

func (demo *demo) writeOnce(ctx context.Context, id int) error {
	conn, err := demo.connect(ctx, fleet.VMID(1), seixal, route)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "INSERT INTO bids VALUES ($1, 'granite', 7)", id)
	return err
}
