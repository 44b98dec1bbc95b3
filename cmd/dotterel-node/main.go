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
	if err := serve.Run(ctx, os.Args[len(os.Args)-1], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "dotterel-node:", err)
		os.Exit(1)
	}
}
