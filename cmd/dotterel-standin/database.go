package main

import (
	"context"
	"errors"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func databaseCommand(io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:      "database",
		ShortHelp: "database group over SQLite (not available yet)",
		Exec: func(context.Context, []string) error {
			return errors.New("database: the stand-in is not available yet")
		},
	}
}
