package proof

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"dotterelgw/core/ids"
	"dotterelgw/standin/fleet"
)

const (
	// exitConflict is the exit code of dotterelctl for a conflict with another change.
	exitConflict = 3
	raceRounds   = 5
)

// Guards against lost updates when two operators replace the same revision of a contract concurrently.
func TestOperatorsRace(t *testing.T) {
	environment := start(t, 3, 0, ample)
	for round := range raceRounds {
		revision := environment.revision()
		rates := []float64{float64(1000 + round), float64(2000 + round)}
		codes := make([]int, len(rates))
		var racing sync.WaitGroup
		for number, rate := range rates {
			vm := fleet.VMID(1 + (round+number)%3)
			file := filepath.Join(t.TempDir(), fmt.Sprintf("%d-%d.toml", round, number))
			environment.must(os.WriteFile(file, fmt.Appendf(nil, contractText, rate, rate), 0o600))
			racing.Go(func() {
				codes[number] = environment.exitCode(vm, "-wait", "contract", "apply", "-revision", fmt.Sprint(revision), file)
			})
		}
		racing.Wait()
		winner := 0
		if codes[1] == 0 {
			winner = 1
		}
		if codes[winner] != 0 || codes[1-winner] != exitConflict {
			t.Fatalf("round %d: exit codes %v, want 0 and %d", round, codes, exitConflict)
		}
		for number := range environment.Size() {
			environment.expectRate(fleet.VMID(number+1), rates[winner])
		}
	}
}

// revision returns the revision of the contract in force.
func (environment *environment) revision() ids.Revision {
	environment.t.Helper()
	output, err := environment.RunControl(environment.ctx, "contract", "show", string(acme))
	environment.must(err)
	var contract struct {
		Revision ids.Revision `json:"revision"`
	}
	environment.must(json.Unmarshal(output, &contract))
	return contract.Revision
}

// exitCode runs dotterelctl against the VM and returns its exit code.
func (environment *environment) exitCode(vm ids.VMID, arguments ...string) int {
	_, err := environment.ControlAt(environment.ctx, vm, arguments...)
	var exit *exec.ExitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		return exit.ExitCode()
	default:
		return -1
	}
}
