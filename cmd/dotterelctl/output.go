package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"dotterelgw/core/ids"
	"dotterelgw/io/admin"
)

const columnGap = 2

func (tool *tool) printJSON(body any) error {
	encoder := json.NewEncoder(tool.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(body); err != nil {
		return fmt.Errorf("printing JSON: %w", err)
	}
	return nil
}

func (tool *tool) printTable(rows [][]string) {
	writer := tabwriter.NewWriter(tool.stdout, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(writer, strings.TrimRight(strings.Join(row, "\t"), "\t"))
	}
	_ = writer.Flush()
}

func (tool *tool) printChanged(changeResult admin.ChangeResult) {
	fmt.Fprintf(tool.stdout, "stored %s at revision %d", changeResult.Entry, changeResult.Revision)
	if changeResult.Replaced != 0 {
		fmt.Fprintf(tool.stdout, ", replacing revision %d", changeResult.Replaced)
	}
	if changeResult.InForce != nil && *changeResult.InForce {
		fmt.Fprint(tool.stdout, "; in force on every live VM")
	}
	fmt.Fprintln(tool.stdout)
}

func printVersion(writer io.Writer, title string, version *admin.Version) {
	if version == nil {
		return
	}
	fmt.Fprintf(writer, "\n%s (revision %d", title, version.Revision)
	if version.ChangeID != "" {
		fmt.Fprintf(writer, ", change %s", version.ChangeID)
	}
	if version.Withdrawn {
		fmt.Fprint(writer, ", withdrawn")
	}
	fmt.Fprintf(writer, "):\n%s\n", strings.TrimRight(version.Text, "\n"))
}

func formatRevision(revision ids.Revision) string { return fmt.Sprint(int64(revision)) }

func joinNames[S ~string](names []S) string {
	if len(names) == 0 {
		return "none"
	}
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ", ")
}
