package report

import (
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/history"
	"dotterelgw/io/load/result"
)

// Guards against reports that omit violations or missing measurements, and against plots that are not well-formed XML or
// lack the labels of failures.
func TestWrite(t *testing.T) {
	measured := &result.Result{
		Experiment:     &experiment.Experiment{Name: "a <b> & c"},
		Seconds:        []result.Second{{OK: 130, P50MS: 1, P99MS: 12}, {OK: 90, Refused: 3, Unknown: 1, P99MS: 900}},
		Failures:       []result.Failure{{At: 0.5, Until: 1, Target: "primary:g1", Server: "g1-a", Group: "g1", What: "frozen=true", GapMS: 2345, Happened: true}},
		Violations:     []history.Violation{{Anomaly: history.LostWrite, Organisation: "org", Session: 4, Detail: "write 7"}},
		ViolationCount: map[history.Anomaly]int{history.LostWrite: 1},
	}
	file := filepath.Join(t.TempDir(), "report.md")
	if err := Write(file, measured); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"lost_write: 1", "write 7", "2345 ms, not recovered", "| not measured |", "report.svg", "interrupted"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the report lacks %q:\n%s", want, text)
		}
	}
	plot, err := os.Open(strings.TrimSuffix(file, ".md") + ".svg")
	if err != nil {
		t.Fatal(err)
	}
	defer plot.Close()
	if drawn := Plot(measured); !strings.Contains(drawn, ">g1-a: frozen=true, gap 2345 ms</text>") || !strings.Contains(drawn, "time since the start") {
		t.Errorf("the plot lacks the label of the failure or of the time axis:\n%s", drawn)
	}
	for decoder := xml.NewDecoder(plot); ; {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
}
