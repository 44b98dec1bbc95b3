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
	// persistence is how long statements before and after the run are tried again.
	persistence = 30 * time.Second
	// retryPause is the pause between two such attempts.
	retryPause = 200 * time.Millisecond
)

// prepare creates each organisation's table.
func (run *run) prepare(ctx context.Context) error {
	for index := range run.experiment.Organisations {
		organisation := &run.experiment.Organisations[index]
		err := run.persist(ctx, organisation, func(ctx context.Context, connection *pgx.Conn) error {
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

// persist runs a task on a new connection, and again on another proxy when it fails.
func (run *run) persist(ctx context.Context, organisation *experiment.Organisation, task func(context.Context, *pgx.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, persistence)
	defer cancel()
	for attempt := 0; ; attempt++ {
		err := run.once(ctx, attempt%len(run.names), organisation, task)
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

func (run *run) once(ctx context.Context, proxy int, organisation *experiment.Organisation, task func(context.Context, *pgx.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(run.experiment.Timeout))
	defer cancel()
	connection, err := pgx.ConnectConfig(ctx, run.config(proxy, organisation.Name))
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close(ctx) }()
	return task(ctx, connection)
}

// readBack reads which rows are present after the run, and returns notes about what could not be read.
func (run *run) readBack(ctx context.Context, recorded *history.History) []string {
	var notes []string
	for index := range run.experiment.Organisations {
		organisation := &run.experiment.Organisations[index]
		recorded.Stale[organisation.Name] = organisation.Contract.MaxAgeMS > 0
		var contents map[int64]int
		err := run.persist(ctx, organisation, func(ctx context.Context, connection *pgx.Conn) (err error) {
			contents, err = run.rowsOf(ctx, connection)
			return err
		})
		if err != nil {
			notes = append(notes, fmt.Sprintf("the rows of %s could not be read: %s", organisation.Name, err))
			continue
		}
		recorded.Contents[organisation.Name] = contents
	}
	return notes
}

// rowsOf counts the rows of this run by identifier. The transaction allows writes, so that the primary serves it.
func (run *run) rowsOf(ctx context.Context, connection *pgx.Conn) (map[int64]int, error) {
	transaction, err := connection.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadWrite})
	if err != nil {
		return nil, err
	}
	contents := map[int64]int{}
	rows, err := transaction.Query(ctx, selectRows, run.base, run.base+sessionsPerSecond)
	if err == nil {
		var row, count int64
		_, err = pgx.ForEachRow(rows, []any{&row, &count}, func() error {
			contents[row] = int(count)
			return nil
		})
	}
	return contents, errors.Join(err, transaction.Commit(ctx))
}
