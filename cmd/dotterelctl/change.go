package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"dotterelgw/core/ids"
	"dotterelgw/io/admin"
)

// revisionLine matches the line in the output of `contract show` from which `contract apply` learns which revision was
// edited.
var revisionLine = regexp.MustCompile(`(?m)^# revision (\d+)$`)

func (tool *tool) applyContract(ctx context.Context, arguments []string) error {
	return tool.apply(ctx, arguments, "/v1/contracts/", "organisation")
}

func (tool *tool) applyGroup(ctx context.Context, arguments []string) error {
	return tool.apply(ctx, arguments, "/v1/groups/", "group")
}

// apply sends the contents of a file to the API. The last path segment is the name that the file sets under nameKey.
func (tool *tool) apply(ctx context.Context, arguments []string, path, nameKey string) error {
	if len(arguments) != 1 {
		return &usageError{"apply needs one file", "name the file, or - for standard input"}
	}
	change, err := readChange(arguments[0])
	if err != nil {
		return err
	}
	var decoded map[string]any
	if strings.HasPrefix(strings.TrimSpace(change.Text), "{") {
		err = json.Unmarshal([]byte(change.Text), &decoded)
	} else {
		_, err = toml.Decode(change.Text, &decoded)
	}
	if err != nil {
		return &admin.Problem{Code: admin.CodeInvalid, Message: fmt.Sprintf("%s: %v", change.File, err), Next: "correct the file; nothing was changed"}
	}
	name, _ := decoded[nameKey].(string)
	if name == "" {
		return &admin.Problem{
			Code: admin.CodeInvalid, Message: fmt.Sprintf("%s: %s is missing", change.File, nameKey),
			Next: "add the line " + nameKey + ` = "..."; nothing was changed`,
		}
	}
	change.Expected = tool.expectedRevision(change.Text)
	query := tool.changeQuery()
	change.ChangeID = tool.changeID
	return tool.change(ctx, http.MethodPut, path+url.PathEscape(name), query, change)
}

func readChange(file string) (admin.Change, error) {
	if file == "-" {
		text, err := io.ReadAll(os.Stdin)
		if err != nil {
			return admin.Change{}, &usageError{"standard input: " + err.Error(), "name a file instead"}
		}
		return admin.Change{File: "standard input", Text: string(text)}, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return admin.Change{}, &usageError{err.Error(), "name a file that you can read"}
	}
	return admin.Change{File: file, Text: string(text)}, nil
}

// expectedRevision returns the revision that the change replaces: that of the flag, or else of the revision line in the
// text. It returns nil if neither is given.
func (tool *tool) expectedRevision(text string) *ids.Revision {
	number := tool.revision
	if match := revisionLine.FindStringSubmatch(text); number < 0 && match != nil {
		if parsed, err := strconv.ParseInt(match[1], 10, 64); err == nil {
			number = parsed
		}
	}
	if number < 0 {
		return nil
	}
	revision := ids.Revision(number)
	return &revision
}

// change sends a change and prints the result. With -wait, a change that is stored but not yet in force on every VM is
// an error.
func (tool *tool) change(ctx context.Context, method, path string, query url.Values, body any) error {
	client, err := tool.client()
	if err != nil {
		return err
	}
	var changeResult admin.ChangeResult
	if err := client.call(ctx, method, path, query, body, &changeResult); err != nil {
		return err
	}
	if tool.json {
		err = tool.printJSON(changeResult)
	} else {
		tool.printChanged(changeResult)
	}
	if err == nil && changeResult.InForce != nil && !*changeResult.InForce {
		err = &notInForceError{changeResult: changeResult}
	}
	return err
}

func (tool *tool) withdrawContract(ctx context.Context, arguments []string) error {
	if len(arguments) != 1 {
		return &usageError{"contract withdraw needs an organisation", "see `dotterelctl contract list`"}
	}
	query := tool.changeQuery()
	query.Set("change_id", tool.changeID)
	if expectedRevision := tool.expectedRevision(""); expectedRevision != nil {
		query.Set("expected", strconv.FormatInt(int64(*expectedRevision), 10))
	}
	return tool.change(ctx, http.MethodDelete, "/v1/contracts/"+url.PathEscape(arguments[0]), query, nil)
}

func (tool *tool) withdrawKey(ctx context.Context, arguments []string) error {
	if len(arguments) != 2 {
		return &usageError{"key withdraw needs an organisation and a key id", "see `dotterelctl contract show ORG` for the keys"}
	}
	query := tool.changeQuery()
	query.Set("change_id", tool.changeID)
	return tool.change(ctx, http.MethodDelete, "/v1/contracts/"+url.PathEscape(arguments[0])+"/keys/"+url.PathEscape(arguments[1]), query, nil)
}

func (tool *tool) giveKey(ctx context.Context, arguments []string) error {
	if len(arguments) != 1 && len(arguments) != 2 {
		return &usageError{"key give needs an organisation", "see `dotterelctl contract list`"}
	}
	client, err := tool.client()
	if err != nil {
		return err
	}
	query := tool.changeQuery()
	query.Set("change_id", tool.changeID)
	body := map[string]string{}
	if len(arguments) == 2 {
		body["key_id"] = arguments[1]
	}
	var given admin.KeyIssued
	if err := client.call(ctx, http.MethodPost, "/v1/contracts/"+url.PathEscape(arguments[0])+"/keys", query, body, &given); err != nil {
		return err
	}
	if tool.json {
		err = tool.printJSON(given)
	} else {
		tool.printTable([][]string{
			{"user", given.User}, {"key", given.Secret}, {"key id", string(given.ID)}, {"revision", formatRevision(given.Revision)},
		})
		fmt.Fprintln(tool.stdout, "The key is shown this once; nobody can look it up.")
	}
	if err == nil && given.InForce != nil && !*given.InForce {
		err = &notInForceError{changeResult: given.ChangeResult}
	}
	return err
}
