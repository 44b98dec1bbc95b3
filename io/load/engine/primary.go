package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"

	"dotterelgw/io/load/experiment"
)

// controlUser is the user whose connections do not count towards the connection limit; see design section 2.2.
const controlUser = "dotterel_control"

// statusTimeout bounds the status query to one server.
const statusTimeout = time.Second

// primary returns the reachable primary of the group with the highest term.
func (target *Target) primary(ctx context.Context, group string) (experiment.Server, error) {
	var found experiment.Server
	highest := int64(-1)
	for _, server := range target.Servers {
		if server.Group != group || server.Address == "" {
			continue
		}
		role, term, err := serverStatus(ctx, server.Address)
		if err == nil && role == "primary" && term > highest {
			found, highest = server, term
		}
	}
	if highest < 0 {
		return found, fmt.Errorf("no reachable primary in group %q", group)
	}
	return found, nil
}

// serverStatus queries a database server for its role and term.
func serverStatus(ctx context.Context, address string) (role string, term int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	connection, err := pgx.Connect(ctx, "postgres://"+controlUser+"@"+address+"/postgres?sslmode=disable")
	if err != nil {
		return "", 0, fmt.Errorf("connecting to %s: %w", address, err)
	}
	defer func() { _ = connection.Close(ctx) }()
	rows, err := connection.Query(ctx, "SELECT * FROM group_status()", pgx.QueryExecModeExec)
	if err != nil {
		return "", 0, fmt.Errorf("querying the status of %s: %w", address, err)
	}
	row, err := pgx.CollectExactlyOneRow(rows, pgx.RowToMap)
	if err != nil {
		return "", 0, fmt.Errorf("reading the status of %s: %w", address, err)
	}
	role, _ = row["role"].(string)
	term, _ = row["term"].(int64)
	return role, term, nil
}
