package retry_test

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dotterelgw/core/retry"
)

// TestAtMostOnce guards against retries of a request that may have run and is neither a read nor idempotent, for generated
// combinations of all fields of an attempt.
func TestAtMostOnce(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("only requests that did not run, reads and idempotent requests are retried", prop.ForAll(
		func(sent, primary, forwarded, readOnly, idempotent, open bool, state string) bool {
			reason, ok := retry.Decide(retry.Attempt{
				Sent: sent, SQLState: state, Primary: primary, Forwarded: forwarded, ReadOnly: readOnly,
				Idempotent: idempotent, InTransaction: open,
			})
			if !ok {
				return true
			}
			harmless := !sent || state == "25006" || state == "" && (readOnly || idempotent)
			known := false
			for _, candidate := range retry.All() {
				known = known || candidate == reason
			}
			return harmless && known && !forwarded && !open
		},
		gen.Bool(), gen.Bool(), gen.Bool(), gen.Bool(), gen.Bool(), gen.Bool(), gen.OneConstOf("", "25006", "40001", "57014"),
	))
	properties.TestingRun(t)
}

// TestBudget guards against retry storms: in any sequence at most a tenth of the requests plus ten are retried.
func TestBudget(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("retries are at most a tenth of the requests plus ten", prop.ForAll(
		func(steps []bool) bool {
			budget := retry.NewBudget()
			requests, retries := 0, 0
			for _, request := range steps {
				if request {
					budget.Request()
					requests++
				} else if budget.Take() {
					retries++
				}
				if retries > requests/10+10 {
					return false
				}
			}
			return true
		},
		gen.SliceOfN(400, gen.Bool()),
	))
	properties.TestingRun(t)
}
