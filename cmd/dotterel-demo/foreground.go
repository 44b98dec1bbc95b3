package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"dotterelgw/standin/fleet"
)

// fleetDirectory is the directory for the settings and logs of a fleet in the foreground and for the file env.
const fleetDirectory = ".fleet"

// runFleet starts the fleet, writes its addresses and credentials to .fleet/env as shell variables and waits until the
// context ends.
func runFleet(ctx context.Context, out io.Writer) error {
	directory, err := filepath.Abs(fleetDirectory)
	if err != nil {
		return fmt.Errorf("resolving the path of %s: %w", fleetDirectory, err)
	}
	if err := os.RemoveAll(directory); err != nil {
		return fmt.Errorf("removing the files of the previous fleet: %w", err)
	}
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return fmt.Errorf("creating %s: %w", fleetDirectory, err)
	}
	running, keys, err := startWithContracts(ctx, directory)
	if err != nil {
		return err
	}
	defer running.Close()
	var env strings.Builder
	for number := 1; number <= running.Size(); number++ {
		vm := fleet.VMID(number)
		fmt.Fprintf(&env, "DSN_%d='%s'\n", number, running.DSN(vm, seixal, keys[seixal], route))
		fmt.Fprintf(&env, "ADMIN_%d='%s'\n", number, running.AdminURL(vm))
	}
	fmt.Fprintf(&env, "DSN_OTHER='%s'\n", running.DSN(fleet.VMID(1), frissito, keys[frissito], route))
	fmt.Fprintf(&env, "DOTTERELCTL='%s'\n", running.ControlCommand())
	fmt.Fprintf(&env, "STANDIN='http://%s'\n", running.Platform.Addresses["switches"])
	for id, process := range running.Databases {
		name := strings.ToUpper(strings.ReplaceAll(string(id), "-", "_"))
		fmt.Fprintf(&env, "STANDIN_%s='http://%s'\n", name, process.Addresses["switches"])
	}
	if err := os.WriteFile(filepath.Join(directory, "env"), []byte(env.String()), 0o600); err != nil {
		return fmt.Errorf("writing the environment file: %w", err)
	}
	fmt.Fprintln(out, "fleet ready")
	<-ctx.Done()
	fmt.Fprintln(out, "stopping the fleet")
	return nil
}
