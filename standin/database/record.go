package database

import (
	"database/sql/driver"
	"fmt"
	"time"

	"dotterelgw/core/ids"
)

// Record is one committed transaction of the log.
type Record struct {
	Term       ids.Term
	Position   ids.LogPosition
	Database   string
	Statements []LoggedStatement
}

// LoggedStatement is one statement of a committed transaction, in SQLite's dialect.
type LoggedStatement struct {
	SQL       string
	Arguments []LoggedValue
}

// LoggedValue is an argument in a form that encoding/gob can encode, including NULL.
type LoggedValue struct {
	// Kind tells which field holds the value: 'i' Int, 'f' Float, 's' and 'b' Bytes as text and as a blob, 'n' none
	// (NULL).
	Kind  byte
	Int   int64
	Float float64
	Bytes []byte
}

func loggedValues(arguments []driver.Value) []LoggedValue {
	list := make([]LoggedValue, len(arguments))
	for index, argument := range arguments {
		switch argument := argument.(type) {
		case int64:
			list[index] = LoggedValue{Kind: 'i', Int: argument}
		case float64:
			list[index] = LoggedValue{Kind: 'f', Float: argument}
		case string:
			list[index] = LoggedValue{Kind: 's', Bytes: []byte(argument)}
		case []byte:
			list[index] = LoggedValue{Kind: 'b', Bytes: argument}
		case nil:
			list[index] = LoggedValue{Kind: 'n'}
		default:
			list[index] = LoggedValue{Kind: 's', Bytes: []byte(fmt.Sprint(argument))}
		}
	}
	return list
}

func (value LoggedValue) value() driver.Value {
	switch value.Kind {
	case 'i':
		return value.Int
	case 'f':
		return value.Float
	case 's':
		return string(value.Bytes)
	case 'b':
		return append([]byte{}, value.Bytes...)
	}
	return nil
}

// logEntry is a record with the time at which this server received or committed it.
type logEntry struct {
	Record
	receivedAt time.Time
}
