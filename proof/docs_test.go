package proof

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	commandBlock = regexp.MustCompile("(?s)```sh\n(.*?)```")
	fileBlock    = regexp.MustCompile("(?s)```(json|toml)\n(.*?)```")
)

// files holds the names under which the pages' commands expect the files that the pages show.
var files = map[string]string{"json": "g9.json", "toml": "acme.toml"}

// Guards against operators' pages whose commands do not work.
func TestCommandsOnOperatorsPages(t *testing.T) {
	environment := start(t, 3, 0, ample)
	_, err := environment.connect("vm1")
	environment.must(err)
	directory := t.TempDir()
	id := environment.refusalID()
	for _, page := range []string{"first-start.md", "contracts.md", "refusals.md", "failover.md", "drain.md"} {
		text, err := os.ReadFile(filepath.Join("..", "docs", "operations", page))
		environment.must(err)
		for _, block := range fileBlock.FindAllStringSubmatch(string(text), -1) {
			environment.must(os.WriteFile(filepath.Join(directory, files[block[1]]), []byte(block[2]), 0o600))
		}
		for _, block := range commandBlock.FindAllStringSubmatch(string(text), -1) {
			for _, line := range strings.Split(strings.TrimSpace(block[1]), "\n") {
				line = strings.NewReplacer("REFUSAL_ID", id, "g9.json", filepath.Join(directory, "g9.json"), "acme.toml", filepath.Join(directory, "acme.toml")).Replace(line)
				arguments := strings.Fields(line)
				if _, err := environment.RunControl(environment.ctx, arguments[1:]...); err != nil {
					t.Errorf("%s: %s: %v", page, line, err)
				}
			}
		}
	}
}

// refusalID provokes a refusal and returns its identifier.
func (environment *environment) refusalID() string {
	environment.t.Helper()
	conn := environment.mustConnect("vm2")
	err := environment.exec(conn, "LISTEN changes")
	if sqlState(err) != "0A000" {
		environment.t.Fatalf("expected SQLSTATE 0A000, got %v", err)
	}
	return regexp.MustCompile(`vm2-[0-9a-f]+`).FindString(detail(err))
}
