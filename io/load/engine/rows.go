package engine

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"

	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/history"
)

const (
	// retryTimeout bounds the retries of the statements before and after the run.
	retryTimeout = 30 * time.Second
	// retryPause is the pause between two attempts.
	retryPause = 200 * time.Millisecond
)

// createTables creates the table and the index of each organisation.
func (run *run) createTables(ctx context.Context) error {
	for index := range run.experiment.Organisations {
		organisation := &run.experiment.Organisations[index]
		err := run.withRetry(ctx, organisation, func(ctx context.Context, connection *pgx.Conn) error {
			if _, err := connection.Exec(ctx, createTable); err != nil {
				return err
			}
			_, err := connection.Exec(ctx, createIndex)
			return err
		})
		if err != nil {
			return fmt.Errorf("organisation %s: %w", organisation.Name, err)
		}
	}
	return nil
}

// withRetry runs a task on a new connection. If it fails, it is retried on the next proxy until retryTimeout.
func (run *run) withRetry(ctx context.Context, organisation *experiment.Organisation, task func(context.Context, *pgx.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		err := run.tryOnce(ctx, attempt%len(run.proxyNames), organisation, task)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryPause):
		}
	}
}

func (run *run) tryOnce(ctx context.Context, proxy int, organisation *experiment.Organisation, task func(context.Context, *pgx.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(run.experiment.Timeout))
	defer cancel()
	connection, err := pgx.ConnectConfig(ctx, run.config(proxy, organisation.Name))
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close(ctx) }()
	return task(ctx, connection)
}

// readBack reads the rows that are present after the run. It returns a note for each organisation whose rows could not be
// read.
func (run *run) readBack(ctx context.Context, recorded *history.History) []string {
	var notes []string
	for index := range run.experiment.Organisations {
		organisation := &run.experiment.Organisations[index]
		recorded.AllowStale[organisation.Name] = organisation.Contract.MaxAgeMS > 0
		var rowCounts map[int64]int
		err := run.withRetry(ctx, organisation, func(ctx context.Context, connection *pgx.Conn) (err error) {
			rowCounts, err = run.countRows(ctx, connection)
			return err
		})
		if err != nil {
			notes = append(notes, fmt.Sprintf("the rows of %s could not be read: %s", organisation.Name, err))
			continue
		}
		recorded.RowCounts[organisation.Name] = rowCounts
	}
	return notes
}

// countRows returns how often each row id of this run is present. It uses a read-write transaction, so that the proxy
// routes it to the primary.
func (run *run) countRows(ctx context.Context, connection *pgx.Conn) (map[int64]int, error) {
	transaction, err := connection.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadWrite})
	if err != nil {
		return nil, err
	}
	rowCounts := map[int64]int{}
	rows, err := transaction.Query(ctx, selectRows, run.firstSessionID, run.firstSessionID+sessionIDsPerSecond)
	if err == nil {
		var row, count int64
		_, err = pgx.ForEachRow(rows, []any{&row, &count}, func() error {
			rowCounts[row] = int(count)
			return nil
		})
	}
	return rowCounts, errors.Join(err, transaction.Commit(ctx))
}
