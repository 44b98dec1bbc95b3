package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"dotterelgw/platform/serve"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	if err := serve.Run(ctx, os.Args[len(os.Args)-1], os.Stdout, reloads); err != nil {
		fmt.Fprintln(os.Stderr, "dotterel-node:", err)
		os.Exit(1)
	}
}
