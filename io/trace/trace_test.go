package trace_test

import (
	"errors"
	"strings"
	"testing"

	"dotterelgw/io/trace"
)

// firstLog and secondLog are the logs of two VMs.
const firstLog = `time=2026-06-24T20:34:30.000Z vm=a-1 event=dependency_lost dependency=backend_server server=s1 failures=2
time=2026-06-24T20:34:38.150Z vm=a-1 event=store_restored era=2 previous=1
time=2026-06-24T20:34:38.300Z vm=a-1 event=records_replaced prefix=op/config revision=2.8 known=1.9 records=1
time=2026-06-24T20:34:38.400Z vm=a-1 event=primary_certainty group=g certain=false primary=s1
time=2026-06-24T20:34:38.413Z vm=a-1 event=answer_lost request=q1 server=s1 waited_ms=41 writes=true err="i/o timeout"
time=2026-06-24T20:34:38.413Z vm=a-1 event=refused request=q1 kind=write reason=outcome_unknown outcome=unknown note="from s1"
time=2026-06-24T20:34:38.500Z vm=a-1 event=refused request=q2 kind=read reason=rate_exceeded outcome="not run" note=
`

const secondLog = `time=2026-06-24T20:34:38.100Z vm=b-1 event=replacement_begun group=g reason=lost server=s1
time=2026-06-24T20:34:38.200Z vm=b-1 event=duty_taken token=7
`

// Guards against a timeline that lacks the lines explaining a refusal, or holds unrelated ones, and against a missing cause.
func TestFind(t *testing.T) {
	timeline, err := trace.Find("q1", strings.NewReader(firstLog), strings.NewReader(secondLog))
	if err != nil {
		t.Fatal(err)
	}
	var events []string
	for _, line := range timeline.Lines {
		events = append(events, line.Get("event"))
	}
	if got := strings.Join(events, " "); got != "replacement_begun store_restored records_replaced primary_certainty answer_lost refused" {
		t.Errorf("events %s", got)
	}
	if !strings.HasPrefix(timeline.Cause, "outcome_unknown on a-1: the write was sent and its answer did not come") {
		t.Errorf("cause %q", timeline.Cause)
	}
	if _, err := trace.Find("q9", strings.NewReader(firstLog)); !errors.Is(err, trace.ErrNotFound) {
		t.Errorf("an unknown request: %v", err)
	}
}

// Guards against a trace that misses a request because of other texts in the log, or whose identifier needs escapes.
func TestFindAmongOtherTexts(t *testing.T) {
	const served = "time=2026-06-24T20:34:38.413Z vm=a-1 event=served server=s1 request="
	cases := map[string]struct{ log, request string }{
		"escaped":                 {served + `"a\nb\u2028"`, "a\nb\u2028"},
		"as it stands in the log": {served + `"a\nb\u2028"`, `"a\nb\u2028"`},
		"without its quotes":      {served + `"a\nb\u2028"`, `a\nb\u2028`},
		"a backslash":             {served + `a\b`, `a\b`},
		"behind a stack":          {"panic: \"x\n\ngoroutine 1 [running]:\nmain.main(0x1=)\n" + served + "q1", "q1"},
		"behind a long line":      {strings.Repeat("x", 1<<20) + "\n" + served + "q1", "q1"},
		"behind an open quote":    {served + "\"q\n" + served + "q1", "q1"},
		"cut":                     {served + strings.Repeat("q", 1000) + " cut=true", strings.Repeat("q", 2000)},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			timeline, err := trace.Find(test.request, strings.NewReader(test.log+"\n"))
			if err != nil || len(timeline.Lines) != 1 || timeline.Lines[0].Get("server") != "s1" {
				t.Errorf("%d lines: %v", len(timeline.Lines), err)
			}
		})
	}
}
