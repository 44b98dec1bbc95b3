package trace

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// maxLineBytes is the length in bytes from which on a line is skipped. The program writes no longer ones.
	maxLineBytes = 64 << 10
	// minCutBytes is the length in bytes that a cut identifier must have to stand for a longer one.
	minCutBytes = 500
	// cutKey is the key of the field that marks a line with cut values.
	cutKey = "cut"
)

// scan calls the function with each line of the log. Of lines that others wrote, such as the stack of a panic, it decodes what it can.
func scan(log io.Reader, each func(Line)) error {
	reader := bufio.NewReaderSize(log, maxLineBytes)
	skipping := false
	for {
		text, incomplete, err := reader.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading a log: %w", err)
		}
		if !incomplete && !skipping {
			line, _ := decode(text)
			each(line)
		}
		skipping = incomplete
	}
}

// decode decodes a line. After an error it returns the fields before the faulty one.
func decode(text []byte) (Line, error) {
	var line Line
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	decoder.ScanRecord()
	for decoder.ScanKeyval() {
		field := Field{Key: string(decoder.Key()), Value: string(decoder.Value())}
		if field.Key == timeKey {
			// A line with an invalid time is kept with a zero time and sorts first.
			line.Time, _ = time.Parse(time.RFC3339Nano, field.Value)
		}
		line.Fields = append(line.Fields, field)
	}
	if err := decoder.Err(); err != nil {
		return line, fmt.Errorf("decoding a line: %w", err)
	}
	return line, nil
}

// spellings returns the identifiers that the text may stand for: itself, or what it means as a value in a log, with its quotes or
// without them.
func spellings(text string) []string {
	identifiers := []string{text}
	if strings.ContainsAny(text, "\r\n") {
		return identifiers
	}
	for _, value := range []string{text, `"` + text + `"`} {
		line, err := decode([]byte(requestKey + "=" + value))
		if err == nil && len(line.Fields) == 1 {
			identifiers = append(identifiers, line.Fields[0].Value)
		}
	}
	return identifiers
}

// isAbout reports whether the line names the request. A line with cut values may name the beginning of its identifier only.
func (line Line) isAbout(request string) bool {
	named := line.Get(requestKey)
	if named == request {
		return named != ""
	}
	return line.Get(cutKey) == "true" && len(named) >= minCutBytes && strings.HasPrefix(request, named)
}
