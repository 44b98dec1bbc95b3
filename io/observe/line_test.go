package observe

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/go-logfmt/logfmt"
)

// hostileTexts holds texts that callers and servers may send.
var hostileTexts = map[string]string{
	"line end":         "a\r\ntime=2026-01-01T00:00:00.000Z vm=vm2 event=served request=b",
	"quote":            "a\" event=served request=\"b",
	"controls":         "a\tb\x00c\x1b[2Kd\x7fe",
	"backslash":        `a\u000ab\`,
	"escaped quote":    `a\" b=c`,
	"unicode line end": "a\u2028b\u2029c\u0085d",
	"unquoted":         "a\u2028b",
	"other direction":  "a\u202eb\U000e0001c",
	"blank":            " ",
	"empty":            "",
	"null":             "null",
	"long":             strings.Repeat("x", 1<<20),
	"long and quoted":  strings.Repeat(`a "`, 1<<18),
	"long and wide":    strings.Repeat("\u00e9 \u2028", 1<<18),
	"long escapes":     strings.Repeat("\n", 1<<18),
}

// Guards against texts of callers and servers that break a line of the log, add a field to it, hide later fields, or cannot be
// read back.
func TestTextsStayInTheirField(t *testing.T) {
	for name, text := range hostileTexts {
		for key, value := range map[string]any{"text": text, "error": errors.New(text)} {
			t.Run(name+" "+key, func(t *testing.T) {
				var output lockedBuffer
				eventLog := NewEventLog(&output, "vm1")
				eventLog.Event("refused", "request", text, "reason", "protocol_error", "err", value, "last", 7)
				eventLog.Event("served", "request", "b")
				eventLog.Close(time.Second)
				lines := strings.FieldsFunc(output.String(), func(char rune) bool {
					return strings.ContainsRune("\n\r\v\f\u0085\u2028\u2029", char)
				})
				if len(lines) != 2 {
					t.Fatalf("%d lines: %.200q", len(lines), lines)
				}
				if len(lines[0]) >= maxLineBytes {
					t.Errorf("%d bytes", len(lines[0]))
				}
				checkFields(t, lines[0], text)
			})
		}
	}
}

// checkFields checks the fields of the line of TestTextsStayInTheirField. A value that was cut is a prefix of the text.
func checkFields(t *testing.T, line, text string) {
	decoder := logfmt.NewDecoder(strings.NewReader(line))
	decoder.ScanRecord()
	var keys []string
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		keys = append(keys, key)
		if (key == "request" || key == "err") && value != text && (len(value) < 500 || !strings.HasPrefix(text, value)) {
			t.Errorf("%s: %.200q", key, value)
		}
	}
	if err := decoder.Err(); err != nil {
		t.Error(err)
	}
	want := "time vm event request reason err last"
	if len(text) > maxLineBytes {
		want += " cut"
	}
	if got := strings.Join(keys, " "); got != want {
		t.Errorf("fields %q", got)
	}
}

// Guards against lines of the process log that a text breaks.
func TestLoggerKeepsLines(t *testing.T) {
	var output bytes.Buffer
	if err := NewLogger(&output, "info").Log("msg", "a\u2028b\nc"); err != nil {
		t.Fatal(err)
	}
	if line := output.String(); !strings.Contains(line, `msg="a\u2028b\nc"`) || strings.Count(line, "\n") != 1 {
		t.Errorf("line %q", line)
	}
}
