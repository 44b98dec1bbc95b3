package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"dotterelgw/io/node"
)

const (
	// explainTimeout bounds the question to a VM.
	explainTimeout = 5 * time.Second
	// maxExplanation bounds the answer in bytes.
	maxExplanation = 1 << 20
)

// explainOperation asks a VM where an operation would go now, and prints the answer.
func (tool *tool) explainOperation(ctx context.Context, arguments []string) error {
	const minArguments, maxArguments = 4, 5
	if len(arguments) < minArguments || len(arguments) > maxArguments {
		return &usageError{
			"explain needs the metrics address of a VM, a route, an organisation and read, write or transaction",
			"`dotterelctl explain 10.1.0.4:9187 orders acme read orders-db:3.1207`; the position of the session's last write, with its group, may be left out",
		}
	}
	query := url.Values{"route": {arguments[1]}, "organisation": {arguments[2]}, "operation": {arguments[3]}}
	if len(arguments) == maxArguments {
		query.Set("written", arguments[4])
	}
	answer, err := askVM(ctx, arguments[0], query)
	if err != nil {
		return err
	}
	if tool.json {
		return tool.printJSON(answer)
	}
	printExplanation(tool.stdout, answer)
	return nil
}

// askVM sends the question to the VM.
func askVM(ctx context.Context, address string, query url.Values) (node.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: "/explain", RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return node.Answer{}, &usageError{err.Error(), "name a VM by host and port"}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return node.Answer{}, fmt.Errorf("asking %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanation))
	if err != nil {
		return node.Answer{}, fmt.Errorf("reading the answer of %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return node.Answer{}, &usageError{fmt.Sprintf("%s answered: %s", address, body), "see `dotterelctl explain -h`"}
	}
	var answer node.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return node.Answer{}, fmt.Errorf("decoding the answer of %s: %w", address, err)
	}
	return answer, nil
}

// printExplanation prints the answer as text.
func printExplanation(out io.Writer, answer node.Answer) {
	fmt.Fprintf(out, "%s (%s), configuration %d, group %s, rate %s\n", answer.VM, answer.AvailabilityZone, answer.Configuration, answer.Group, answer.Rate)
	switch {
	case answer.Server != "" && answer.Through != "":
		fmt.Fprintf(out, "goes to %s through %s, position %d.%d or later\n", answer.Server, answer.Through, answer.RequiredTerm, answer.RequiredLog)
	case answer.Server != "":
		fmt.Fprintf(out, "goes to %s, position %d.%d or later\n", answer.Server, answer.RequiredTerm, answer.RequiredLog)
	case answer.Waits:
		fmt.Fprintf(out, "waits: %s (%s)\n", answer.Reason, answer.Note)
	default:
		fmt.Fprintf(out, "refused: %s, not run, retry after %d ms (%s)\n", answer.Reason, answer.RetryAfterMS, answer.Note)
	}
	if answer.ZoneShares != "" {
		fmt.Fprintf(out, "reads that leave the zone: %s\n", answer.ZoneShares)
	}
	for _, candidate := range answer.Candidates {
		state := "can run it"
		if candidate.Obstacle != "" {
			state = string(candidate.Obstacle)
		}
		role := "replica"
		if candidate.Primary {
			role = "primary"
		}
		fmt.Fprintf(out, "  %s %s in %s: expected %.1f ms, %s\n", role, candidate.Server, candidate.Zone, candidate.ExpectedMS, state)
	}
}
