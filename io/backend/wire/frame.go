package wire

import "encoding/binary"

// headerBytes is the size of the type byte and the length field.
const headerBytes = 5

// Message types sent by callers.
const (
	Bind         = 'B'
	Close        = 'C'
	CopyData     = 'd'
	CopyDone     = 'c'
	CopyFail     = 'f'
	Describe     = 'D'
	Execute      = 'E'
	Flush        = 'H'
	FunctionCall = 'F'
	Parse        = 'P'
	Password     = 'p'
	Query        = 'Q'
	Sync         = 'S'
	Terminate    = 'X'
)

// Message types sent by backend servers.
const (
	Authentication       = 'R'
	BackendKeyData       = 'K'
	BindComplete         = '2'
	CloseComplete        = '3'
	CommandComplete      = 'C'
	CopyBothResponse     = 'W'
	CopyInResponse       = 'G'
	CopyOutResponse      = 'H'
	DataRow              = 'D'
	EmptyQueryResponse   = 'I'
	ErrorResponse        = 'E'
	NoData               = 'n'
	NoticeResponse       = 'N'
	NotificationResponse = 'A'
	ParameterDescription = 't'
	ParameterStatus      = 'S'
	ParseComplete        = '1'
	PortalSuspended      = 's'
	ReadyForQuery        = 'Z'
	RowDescription       = 'T'
)

// Transaction states in ReadyForQuery.
const (
	Idle              = 'I'
	InTransaction     = 'T'
	FailedTransaction = 'E'
)

// Frame is one complete message: type byte, length, body.
type Frame []byte

// Type returns the message's type byte.
func (frame Frame) Type() byte { return frame[0] }

// Body returns the message without type and length.
func (frame Frame) Body() []byte { return frame[headerBytes:] }

// AppendEmpty appends a message of the given type without a body.
func AppendEmpty(dst []byte, kind byte) []byte { return append(dst, kind, 0, 0, 0, 4) }

// AppendQuery appends a Query message with the statement text.
func AppendQuery(dst []byte, text string) []byte {
	dst = append(dst, Query)
	dst = binary.BigEndian.AppendUint32(dst, uint32(4+len(text)+1))
	return append(append(dst, text...), 0)
}

// AppendReady appends a ReadyForQuery message with the transaction state.
func AppendReady(dst []byte, status byte) []byte {
	return append(dst, ReadyForQuery, 0, 0, 0, 5, status)
}

// CommandTag returns the tag of a CommandComplete message.
func CommandTag(frame Frame) []byte {
	body := frame.Body()
	if n := len(body); n > 0 && body[n-1] == 0 {
		return body[:n-1]
	}
	return body
}

// ErrorField returns the field of an ErrorResponse message with the given code, or "" if there is none.
func ErrorField(frame Frame, code byte) string {
	body := frame.Body()
	for len(body) > 1 {
		field := body[0]
		end := 1
		for end < len(body) && body[end] != 0 {
			end++
		}
		if field == code {
			return string(body[1:end])
		}
		body = body[min(end+1, len(body)):]
	}
	return ""
}

// Columns returns the values of a DataRow message, nil for NULL. They are stored in values, which is reused, and refer to
// the frame. ok is false if the message is malformed.
func Columns(frame Frame, values [][]byte) (columns [][]byte, ok bool) {
	body := frame.Body()
	if len(body) < 2 {
		return nil, false
	}
	count := int(binary.BigEndian.Uint16(body))
	body = body[2:]
	columns = values[:0]
	for range count {
		if len(body) < 4 {
			return nil, false
		}
		size := int(int32(binary.BigEndian.Uint32(body)))
		body = body[4:]
		if size < 0 {
			columns = append(columns, nil)
			continue
		}
		if size > len(body) {
			return nil, false
		}
		columns = append(columns, body[:size])
		body = body[size:]
	}
	return columns, len(body) == 0
}
