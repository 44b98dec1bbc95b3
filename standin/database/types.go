package database

import (
	"database/sql/driver"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// column is one column of a result; an OID of 0 means that the type follows from the first row.
type column struct {
	name string
	oid  uint32
}

// result is the complete result of one statement.
type result struct {
	columns []column
	rows    [][]driver.Value
	tag     string
	// hasRows is set if the statement can return rows, even if there are none.
	hasRows bool
}

const (
	textFormat       = 0
	binaryFormat     = 1
	timestampLayout  = "2006-01-02 15:04:05.999999"
	timestampZLayout = "2006-01-02 15:04:05.999999Z07:00"
)

// postgresEpoch is the epoch of binary timestamps.
var postgresEpoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// declaredOID returns the OID for the declared type of a column, or 0 for an expression.
func declaredOID(declared string) uint32 {
	name, _, _ := strings.Cut(strings.ToUpper(strings.TrimSpace(declared)), "(")
	switch strings.TrimSpace(name) {
	case "":
		return 0
	case "BIGINT", "INTEGER", "INT", "INT2", "INT4", "INT8", "SMALLINT":
		return pgtype.Int8OID
	case "BOOLEAN", "BOOL":
		return pgtype.BoolOID
	case "BYTEA", "BLOB":
		return pgtype.ByteaOID
	case "REAL", "FLOAT", "FLOAT4", "FLOAT8", "DOUBLE", "DOUBLE PRECISION", "NUMERIC", "DECIMAL":
		return pgtype.Float8OID
	case "TIMESTAMPTZ", "TIMESTAMP WITH TIME ZONE":
		return pgtype.TimestamptzOID
	case "TIMESTAMP", "TIMESTAMP WITHOUT TIME ZONE", "DATETIME":
		return pgtype.TimestampOID
	}
	return pgtype.TextOID
}

// valueOID returns the OID for the type of a value.
func valueOID(value driver.Value) uint32 {
	switch value.(type) {
	case int64:
		return pgtype.Int8OID
	case float64:
		return pgtype.Float8OID
	case bool:
		return pgtype.BoolOID
	case []byte:
		return pgtype.ByteaOID
	}
	return pgtype.TextOID
}

// typeSize returns the type length for RowDescription; -1 means variable length.
func typeSize(oid uint32) int16 {
	switch oid {
	case pgtype.Int8OID, pgtype.Float8OID, pgtype.TimestampOID, pgtype.TimestamptzOID:
		return 8
	case pgtype.BoolOID:
		return 1
	}
	return -1
}

// resolveTypes sets the type of every expression column from the first row, or to text if there is none.
func (answer *result) resolveTypes() {
	for index := range answer.columns {
		if answer.columns[index].oid != 0 {
			continue
		}
		answer.columns[index].oid = pgtype.TextOID
		if len(answer.rows) > 0 {
			answer.columns[index].oid = valueOID(answer.rows[0][index])
		}
	}
}

// encode returns a value in its wire format; nil means NULL.
func encode(value driver.Value, oid uint32, format int16) ([]byte, error) {
	if value == nil {
		return nil, nil
	}
	switch oid {
	case pgtype.Int8OID:
		return encodeNumber(value, format, func(text string) (uint64, error) {
			number, err := strconv.ParseInt(text, 10, 64)
			return uint64(number), err
		})
	case pgtype.Float8OID:
		return encodeNumber(value, format, func(text string) (uint64, error) {
			number, err := strconv.ParseFloat(text, 64)
			return math.Float64bits(number), err
		})
	case pgtype.BoolOID:
		truth := isTrue(value)
		switch {
		case format == binaryFormat && truth:
			return []byte{1}, nil
		case format == binaryFormat:
			return []byte{0}, nil
		case truth:
			return []byte("t"), nil
		}
		return []byte("f"), nil
	case pgtype.ByteaOID:
		data, ok := value.([]byte)
		if !ok {
			data = []byte(formatValue(value))
		}
		if format == binaryFormat {
			return append([]byte{}, data...), nil
		}
		return []byte(`\x` + hex.EncodeToString(data)), nil
	case pgtype.TimestampOID, pgtype.TimestamptzOID:
		return encodeTime(value, oid, format)
	}
	return []byte(formatValue(value)), nil
}

func encodeNumber(value driver.Value, format int16, bits func(string) (uint64, error)) ([]byte, error) {
	text := formatValue(value)
	if format != binaryFormat {
		return []byte(text), nil
	}
	number, err := bits(text)
	if err != nil {
		return nil, fail("22P02", "invalid input syntax for a number: %q", text)
	}
	return binary.BigEndian.AppendUint64(nil, number), nil
}

func encodeTime(value driver.Value, oid uint32, format int16) ([]byte, error) {
	moment, ok := value.(time.Time)
	if !ok {
		var err error
		for _, layout := range []string{timestampZLayout, "2006-01-02 15:04:05.999999Z07", timestampLayout, time.RFC3339Nano} {
			if moment, err = time.Parse(layout, formatValue(value)); err == nil {
				break
			}
		}
		if err != nil {
			return nil, fail("22007", "invalid input syntax for a timestamp: %q", formatValue(value))
		}
	}
	moment = moment.UTC()
	switch {
	case format == binaryFormat:
		return binary.BigEndian.AppendUint64(nil, uint64(moment.Sub(postgresEpoch).Microseconds())), nil
	case oid == pgtype.TimestamptzOID:
		return []byte(moment.Format(timestampLayout) + "+00"), nil
	}
	return []byte(moment.Format(timestampLayout)), nil
}

// formatValue returns a value as text.
func formatValue(value driver.Value) string {
	switch value := value.(type) {
	case string:
		return value
	case []byte:
		return string(value)
	case int64:
		return strconv.FormatInt(value, 10)
	case float64:
		return strconv.FormatFloat(value, 'g', -1, 64)
	case bool:
		if value {
			return "t"
		}
		return "f"
	case time.Time:
		return value.UTC().Format(timestampZLayout)
	}
	return fmt.Sprint(value)
}

// isTrue returns the value of a boolean in any of the forms in which SQLite may store it.
func isTrue(value driver.Value) bool {
	switch strings.ToLower(formatValue(value)) {
	case "t", "true", "1", "on", "yes", "y":
		return true
	}
	return false
}

// decode returns a parameter as an argument for SQLite. Without a type, text that looks like a bytea literal becomes a
// blob and other text stays text, which SQLite's column affinity converts to a number for numeric columns.
func decode(data []byte, oid uint32, format int16) (driver.Value, error) {
	if data == nil {
		return nil, nil
	}
	if format == binaryFormat {
		return decodeBinary(data, oid)
	}
	text := string(data)
	switch oid {
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, fail("22P02", "invalid input syntax for type bigint: %q", text)
		}
		return number, nil
	case pgtype.Float4OID, pgtype.Float8OID:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, fail("22P02", "invalid input syntax for type double precision: %q", text)
		}
		return number, nil
	case pgtype.BoolOID:
		if isTrue(text) {
			return int64(1), nil
		}
		return int64(0), nil
	case 0, pgtype.ByteaOID:
		if strings.HasPrefix(text, `\x`) {
			if blob, err := hex.DecodeString(text[2:]); err == nil {
				return blob, nil
			}
		}
	}
	return text, nil
}

func decodeBinary(data []byte, oid uint32) (driver.Value, error) {
	switch {
	case oid == pgtype.Int2OID && len(data) == 2:
		return int64(int16(binary.BigEndian.Uint16(data))), nil
	case oid == pgtype.Int4OID && len(data) == 4:
		return int64(int32(binary.BigEndian.Uint32(data))), nil
	case oid == pgtype.Int8OID && len(data) == 8:
		return int64(binary.BigEndian.Uint64(data)), nil
	case oid == pgtype.Float4OID && len(data) == 4:
		return float64(math.Float32frombits(binary.BigEndian.Uint32(data))), nil
	case oid == pgtype.Float8OID && len(data) == 8:
		return math.Float64frombits(binary.BigEndian.Uint64(data)), nil
	case oid == pgtype.BoolOID && len(data) == 1:
		return int64(data[0]), nil
	case (oid == pgtype.TimestampOID || oid == pgtype.TimestamptzOID) && len(data) == 8:
		offset := time.Duration(int64(binary.BigEndian.Uint64(data))) * time.Microsecond
		return postgresEpoch.Add(offset).Format(timestampZLayout), nil
	case oid == pgtype.TextOID || oid == pgtype.VarcharOID:
		return string(data), nil
	case oid == pgtype.ByteaOID || oid == 0:
		return append([]byte{}, data...), nil
	}
	return nil, fail("0A000", "binary parameter of type %d is not supported", oid)
}
