package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dotterelgw/standin/platform"
)

func platformCommand(ready io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("dotterel-standin platform", flag.ContinueOnError)
	settings := platform.Settings{}
	flags.StringVar(&settings.Listen, "listen", "127.0.0.1:0", "address of the key-value service; port 0 chooses a free port")
	flags.StringVar(&settings.VMsListen, "vms-listen", "127.0.0.1:0", "address of the VM list (GET /vms)")
	flags.StringVar(&settings.SwitchesListen, "switches", "127.0.0.1:0", "address of the fault switches and call counts")
	vmsFile := flags.String("vms", "", "JSON file with the initial VM list, as GET /vms returns it")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "dotterel-standin platform [-listen ADDRESS] [-vms-listen ADDRESS] [-switches ADDRESS] [-vms FILE]",
		ShortHelp:  "key-value service (etcd v3 subset) and VM list",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("DOTTEREL_STANDIN_PLATFORM")},
		Exec: func(ctx context.Context, arguments []string) error {
			if err := rejectArguments(arguments); err != nil {
				return err
			}
			vms, err := readVMs(*vmsFile)
			if err != nil {
				return fmt.Errorf("platform: %w", err)
			}
			standin, err := platform.New(settings, platform.WithVMs(vms))
			if err != nil {
				return fmt.Errorf("platform: %w", err)
			}
			if err := announce(ready, standin.Addresses()); err != nil {
				return errors.Join(err, standin.Close())
			}
			<-ctx.Done()
			return standin.Close()
		},
	}
}

func readVMs(file string) ([]platform.VM, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading the VM list: %w", err)
	}
	var body struct {
		VMs []platform.VM `json:"vms"`
	}
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, fmt.Errorf("decoding the VM list %s: %w", file, err)
	}
	return body.VMs, nil
}
