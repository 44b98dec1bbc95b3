package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"dotterelgw/io/admin"
)

// fetch requests a resource of type T and prints it as JSON with -json, or else with printBody.
func fetch[T any](ctx context.Context, tool *tool, path string, printBody func(T)) error {
	client, err := tool.client()
	if err != nil {
		return err
	}
	var body T
	if err := client.call(ctx, http.MethodGet, path, nil, nil, &body); err != nil {
		return err
	}
	if tool.json {
		return tool.printJSON(body)
	}
	printBody(body)
	return nil
}

func (tool *tool) listContracts(ctx context.Context, arguments []string) error {
	if len(arguments) != 0 {
		return &usageError{"contract list takes no arguments", "use `dotterelctl contract show ORG` for one contract"}
	}
	return fetch(ctx, tool, "/v1/contracts", func(list admin.List[admin.ContractView]) {
		rows := [][]string{{"ORGANISATION", "REVISION", "STATE", "RATE", "BURST", "KEYS", "ROUTES"}}
		for _, item := range list.Items {
			state, keys := "in force", 0
			if item.Withdrawn {
				state = "withdrawn"
			}
			for _, key := range item.Keys {
				if key.Withdrawn == nil {
					keys++
				}
			}
			rows = append(rows, []string{
				string(item.Organisation), formatRevision(item.Revision), state,
				fmt.Sprint(item.Rate), fmt.Sprint(item.Burst), fmt.Sprint(keys), joinNames(item.Routes),
			})
		}
		tool.printTable(rows)
	})
}

func (tool *tool) showContract(ctx context.Context, arguments []string) error {
	if len(arguments) != 1 {
		return &usageError{"contract show needs an organisation", "see `dotterelctl contract list`"}
	}
	return fetch(ctx, tool, "/v1/contracts/"+url.PathEscape(arguments[0]), func(view admin.ContractView) {
		fmt.Fprintf(tool.stdout, "# revision %d\n# change %s\n", view.Revision, view.ChangeID)
		if view.Withdrawn {
			fmt.Fprintln(tool.stdout, "# withdrawn; applying it puts it in force again")
		}
		for _, key := range view.Keys {
			state := "in use"
			if key.Withdrawn != nil {
				state = "withdrawn " + key.Withdrawn.Format(time.RFC3339)
			}
			fmt.Fprintf(tool.stdout, "# key %s, given %s, %s\n", key.ID, key.Given.Format(time.RFC3339), state)
		}
		fmt.Fprintln(tool.stdout, strings.TrimRight(view.Text, "\n"))
	})
}

func (tool *tool) listGroups(ctx context.Context, arguments []string) error {
	if len(arguments) != 0 {
		return &usageError{"group list takes no arguments", "see `dotterelctl group list -json` for the servers"}
	}
	return fetch(ctx, tool, "/v1/groups", func(list admin.List[admin.GroupView]) { tool.printGroups(list.Items) })
}

func (tool *tool) status(ctx context.Context, arguments []string) error {
	if len(arguments) != 0 {
		return &usageError{"status takes no arguments", "choose the VM that is asked by -admin"}
	}
	return fetch(ctx, tool, "/v1/status", func(status admin.Status) {
		ready := "yes"
		if !status.Ready {
			ready = "no: " + status.NotReady
		}
		admitting := "yes"
		if !status.Admitting {
			admitting = "no: its configuration is not confirmed"
		}
		tool.printTable([][]string{
			{"VM", string(status.VM)},
			{"availability zone", string(status.AvailabilityZone)},
			{"ready", ready},
			{"admitting", admitting},
			{"revision", formatRevision(status.Revision)},
			{"behind", joinNames(status.Behind)},
		})
		fmt.Fprintln(tool.stdout)
		rows := [][]string{{"MEMBER", "ZONE", "ADDRESS", "STATE"}}
		for _, member := range status.Members {
			state := "live"
			if member.Leaving {
				state = "leaving"
			}
			rows = append(rows, []string{string(member.ID), string(member.AvailabilityZone), member.Address, state})
		}
		tool.printTable(rows)
		fmt.Fprintln(tool.stdout)
		tool.printGroups(status.Groups)
	})
}

func (tool *tool) printGroups(groups []admin.GroupView) {
	rows := [][]string{{"GROUP", "PRIMARY", "TERM", "SERVERS", "REACHABLE", "CONNECTIONS", "SLOTS", "REVISION"}}
	for _, group := range groups {
		primary := string(group.Primary)
		if primary == "" {
			primary = "none"
		}
		rows = append(rows, []string{
			string(group.Group), primary, fmt.Sprint(group.Term), fmt.Sprint(len(group.Servers)), fmt.Sprint(group.Reachable),
			fmt.Sprint(group.Connections), fmt.Sprint(group.Slots), formatRevision(group.Revision),
		})
	}
	tool.printTable(rows)
}

func (tool *tool) explainRefusal(ctx context.Context, arguments []string) error {
	if len(arguments) != 1 {
		return &usageError{"refusal explain needs an identifier", "copy it from the detail of the error that the caller got"}
	}
	return fetch(ctx, tool, "/v1/refusals/"+url.PathEscape(arguments[0]), func(record admin.Record) {
		contract := "not known"
		if record.ContractRevision != 0 {
			contract = "revision " + formatRevision(record.ContractRevision)
		}
		tool.printTable([][]string{
			{"refusal", string(record.ID)},
			{"time", record.Time.Format(time.RFC3339Nano)},
			{"VM", string(record.VM)},
			{"organisation", string(record.Organisation)},
			{"key id", string(record.Key)},
			{"route", string(record.Route)},
			{"reason", string(record.Reason) + " (SQLSTATE " + record.SQLState + ")"},
			{"message", record.Message},
			{"clause", record.Clause},
			{"contract", contract},
			{"figures", record.Note},
			{"outcome", string(record.Outcome)},
			{"told the caller", record.Hint},
		})
	})
}

// drain starts the planned stop of a VM. Only the VM itself can do that, so every URL is tried until its API is found.
func (tool *tool) drain(ctx context.Context, arguments []string) error {
	if len(arguments) != 1 {
		return &usageError{"drain needs a VM", "see `dotterelctl status` for the VMs"}
	}
	client, err := tool.client()
	if err != nil {
		return err
	}
	path := "/v1/drain/" + url.PathEscape(arguments[0])
	var failures error
	var otherVM *admin.Problem
	for _, base := range client.urls {
		var body map[string]any
		err := client.callOne(ctx, base, http.MethodPost, path, nil, nil, &body)
		var problem *admin.Problem
		switch {
		case err == nil && tool.json:
			return tool.printJSON(body)
		case err == nil:
			fmt.Fprintf(tool.stdout, "VM %s drains: it takes no new connections and ends when its sessions have ended\n", arguments[0])
			return nil
		case errors.As(err, &problem) && problem.Code == admin.CodeOtherVM:
			otherVM = problem
		case errors.As(err, &problem):
			return problem
		default:
			failures = errors.Join(failures, err)
		}
	}
	if failures != nil {
		return &unreachableError{err: failures}
	}
	otherVM.Message = "none of the administration APIs is that of VM " + arguments[0]
	otherVM.Next = "add the URL of its API to -admin"
	return otherVM
}
