package answer_test

import (
	"strconv"
	"testing"

	"dotterelgw/core/answer"
	"dotterelgw/core/statement"
)

// taken is an answer and the kind of the call for whose answer it is taken.
type taken struct {
	kind  statement.Kind
	reply statement.Reply
}

const inside, failed = statement.InTransaction, statement.FailedTransaction

var (
	row    = []string{"row"}
	unsign = statement.Reply{Signature: "-"}
	begun  = taken{statement.Begin, statement.Reply{Signature: "-", State: inside}}
	status = taken{statement.Status, statement.Reply{Signature: "-", Rows: row}}
	busy   = statement.Reply{Code: statement.Busy}
)

// Guards against answers that are taken for those of other calls, and against right answers for which connections are ended. The last answer
// is the one that is judged.
func TestCheck(t *testing.T) {
	for name, test := range map[string]struct {
		answers []taken
		want    answer.Cause
	}{
		"read":                              {answers: []taken{{statement.Read, statement.Reply{Signature: "a", Rows: row}}}},
		"read without rows":                 {answers: []taken{{statement.Read, statement.Reply{Signature: "a"}}}},
		"status":                            {answers: []taken{status}},
		"transaction":                       {answers: []taken{begun, {statement.Write, statement.Reply{Signature: "a", State: inside}}, {statement.Commit, statement.Reply{Signature: "b"}}}},
		"value in a transaction":            {answers: []taken{begun, {statement.Set, statement.Reply{Signature: "-", State: inside}}}},
		"rolled back":                       {answers: []taken{begun, {statement.Rollback, unsign}}},
		"error outside of a transaction":    {answers: []taken{{statement.Write, busy}}},
		"error that fails the transaction":  {answers: []taken{begun, {statement.Write, statement.Reply{Code: statement.ReadOnly, State: failed}}}},
		"busy in a transaction":             {answers: []taken{begun, {statement.Write, statement.Reply{Code: statement.Busy, State: inside}}}},
		"commit that fails":                 {answers: []taken{begun, {statement.Commit, busy}}},
		"write without a signature":         {answers: []taken{{statement.Write, unsign}}, want: answer.Unsigned},
		"commit without a signature":        {answers: []taken{begun, {statement.Commit, unsign}}, want: answer.Unsigned},
		"value with a signature":            {answers: []taken{{statement.Set, statement.Reply{Signature: "a"}}}, want: answer.Signed},
		"signature of an earlier answer":    {answers: []taken{{statement.Write, statement.Reply{Signature: "a"}}, {statement.Read, statement.Reply{Signature: "a"}}}, want: answer.Repeated},
		"begin that opens no transaction":   {answers: []taken{{statement.Begin, unsign}}, want: answer.State},
		"write that opens a transaction":    {answers: []taken{{statement.Write, statement.Reply{Signature: "a", State: inside}}}, want: answer.State},
		"write that ends a transaction":     {answers: []taken{begun, {statement.Write, statement.Reply{Signature: "a"}}}, want: answer.State},
		"error that opens a transaction":    {answers: []taken{{statement.Write, statement.Reply{Code: statement.Busy, State: inside}}}, want: answer.State},
		"error that ends a transaction":     {answers: []taken{begun, {statement.Write, busy}}, want: answer.State},
		"rollback that ends no transaction": {answers: []taken{begun, {statement.Rollback, statement.Reply{Signature: "-", State: inside}}}, want: answer.State},
		"write with rows":                   {answers: []taken{{statement.Write, statement.Reply{Signature: "a", Rows: row}}}, want: answer.Rows},
		"value with rows":                   {answers: []taken{{statement.Set, statement.Reply{Signature: "-", Rows: row}}}, want: answer.Rows},
		"status without a row":              {answers: []taken{{statement.Status, unsign}}, want: answer.Rows},
		"second error":                      {answers: []taken{{statement.Write, busy}, {statement.Write, busy}}, want: answer.SecondError},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker answer.Tracker
			last := len(test.answers) - 1
			for _, earlier := range test.answers[:last] {
				if cause, unmatched := tracker.Check(earlier.kind, earlier.reply); unmatched {
					t.Fatalf("an earlier answer does not belong to its call: %s", cause)
				}
			}
			cause, unmatched := tracker.Check(test.answers[last].kind, test.answers[last].reply)
			if cause != test.want || unmatched != (test.want != "") {
				t.Errorf("cause %q (%v), want %q", cause, unmatched, test.want)
			}
		})
	}
}

// Guards against a second answer that is not recognised since many others came between, and against a memory of signatures that grows without
// end.
func TestManySignatures(t *testing.T) {
	const between = 1000
	var tracker answer.Tracker
	check := func(number int) (answer.Cause, bool) {
		return tracker.Check(statement.Read, statement.Reply{Signature: strconv.Itoa(number)})
	}
	for number := range 10 * between {
		if cause, unmatched := check(number); unmatched {
			t.Fatalf("answer %d: %s", number, cause)
		}
	}
	if cause, _ := check(9 * between); cause != answer.Repeated {
		t.Errorf("the answer %d answers before: cause %q", between, cause)
	}
	if cause, _ := check(0); cause != "" {
		t.Errorf("the first answer is still remembered: cause %q", cause)
	}
}

// BenchmarkCheck measures the check of an answer with a signature among all that are remembered.
func BenchmarkCheck(b *testing.B) {
	var tracker answer.Tracker
	signature := []byte("7.1f3.c.2b.90e1c4d2a7b3f655")
	for index := range b.N {
		signature[0], signature[1], signature[2] = byte(index), byte(index>>8), byte(index>>16)
		if cause, unmatched := tracker.Check(statement.Read, statement.Reply{Signature: string(signature), Rows: row}); unmatched {
			b.Fatal(cause)
		}
	}
}
