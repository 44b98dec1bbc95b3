package wire_test

import (
	"bytes"
	"errors"
	"io"
	"os"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"dotterelgw/io/backend/wire"
)

// chunkedReader returns at most size bytes per read, and a timeout before each read.
type chunkedReader struct {
	data  []byte
	size  int
	ready bool
}

func (source *chunkedReader) Read(buffer []byte) (int, error) {
	if source.ready = !source.ready; source.ready {
		return 0, os.ErrDeadlineExceeded
	}
	if len(source.data) == 0 {
		return 0, io.EOF
	}
	count := copy(buffer, source.data[:min(source.size, len(source.data))])
	source.data = source.data[count:]
	return count, nil
}

// TestReader guards against corrupted frames when a message arrives in several reads with timeouts in between.
func TestReader(t *testing.T) {
	for name, size := range map[string]int{"bytes": 1, "pieces": 7, "chunks": 1000, "large": 50_000} {
		t.Run(name, func(t *testing.T) {
			var stream []byte
			var texts []string
			for _, length := range []int{0, 1, 500, 506, 507, 508, 3, 8187, 8192, 20_000, 2, 511} {
				text := string(bytes.Repeat([]byte{'x'}, length))
				texts = append(texts, text)
				stream = wire.AppendQuery(stream, text)
			}
			reader := wire.NewReader(&chunkedReader{data: stream, size: size}, 30_000)
			for _, text := range texts {
				frame, err := reader.Next()
				for errors.Is(err, os.ErrDeadlineExceeded) {
					frame, err = reader.Next()
				}
				if err != nil {
					t.Fatal(err)
				}
				var query pgproto3.Query
				if err := query.Decode(frame.Body()); err != nil || query.String != text {
					t.Fatalf("got %d bytes, want %d: %v", len(query.String), len(text), err)
				}
				reader.ReleaseBuffer()
			}
		})
	}
}

// TestLimits guards against length fields that would make the reader allocate or wait without bound.
func TestLimits(t *testing.T) {
	cases := map[string]struct {
		header []byte
		want   error
	}{
		"negative":  {[]byte{'Q', 0xff, 0xff, 0xff, 0xff}, wire.ErrMalformed},
		"too short": {[]byte{'Q', 0, 0, 0, 3}, wire.ErrMalformed},
		"too large": {[]byte{'Q', 0, 1, 0, 0}, wire.ErrTooLarge},
		"cut off":   {[]byte{'Q', 0, 0, 0, 9, 1}, io.ErrUnexpectedEOF},
		"empty":     {nil, io.EOF},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := wire.NewReader(bytes.NewReader(test.header), 100).Next()
			if !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// TestFields guards against wrong values, and values from malformed messages, of the fields that the proxy evaluates.
func TestFields(t *testing.T) {
	encoded, _ := (&pgproto3.ErrorResponse{Severity: "ERROR", Code: "25006", Message: "no"}).Encode(nil)
	if code := wire.ErrorField(encoded, 'C'); code != "25006" {
		t.Errorf("code %q", code)
	}
	if field := wire.ErrorField(encoded[:7], 'C'); field != "" {
		t.Errorf("field of a malformed message %q", field)
	}
	encoded, _ = (&pgproto3.DataRow{Values: [][]byte{[]byte("7"), nil}}).Encode(nil)
	columns, ok := wire.Columns(encoded, nil)
	if !ok || len(columns) != 2 || string(columns[0]) != "7" || columns[1] != nil {
		t.Errorf("columns %q, %v", columns, ok)
	}
	if _, ok = wire.Columns(encoded[:len(encoded)-2], nil); ok {
		t.Error("a malformed row was accepted")
	}
}
