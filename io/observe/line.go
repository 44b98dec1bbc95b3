package observe

import (
	"bytes"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf16"
	"unicode/utf8"

	"github.com/go-logfmt/logfmt"
)

// cutKey is the key of the field that marks a line whose longest values were cut.
const cutKey = "cut"

// field is an encoded field of a line: key=value.
type field struct {
	key, value []byte
}

// length returns the length of the field with a blank or line end behind it.
func (field field) length() int { return len(field.key) + len("=") + len(field.value) + 1 }

// encodeLine returns the keys and values as one line of at most limit bytes. If they are longer, the longest values are cut and a
// field says so.
func encodeLine(limit int, keyvals []any) ([]byte, error) {
	if len(keyvals)%2 != 0 {
		keyvals = append(keyvals, nil)
	}
	fields, err := encodeFields(limit, keyvals)
	if err != nil {
		return nil, fmt.Errorf("encoding a log line: %w", err)
	}
	total := 0
	for _, field := range fields {
		total += field.length()
	}
	if total > limit {
		mark := field{key: []byte(cutKey), value: []byte("true")}
		fields = append(fields, mark)
		total += mark.length()
		cutLongest(fields, total-limit)
	}
	line := bytes.NewBuffer(make([]byte, 0, min(total, limit)))
	for index, field := range fields {
		if index > 0 {
			line.WriteByte(' ')
		}
		line.Write(field.key)
		line.WriteByte('=')
		line.Write(field.value)
	}
	line.WriteByte('\n')
	return line.Bytes(), nil
}

// encodeFields encodes the keys and values. Of a text longer than the limit of the line only the part within it is considered.
func encodeFields(limit int, keyvals []any) ([]field, error) {
	var encoded bytes.Buffer
	encoder := logfmt.NewEncoder(&encoded)
	ends := make([]int, 0, len(keyvals)/2)
	for index := 0; index < len(keyvals); index += 2 {
		value := keyvals[index+1]
		if text, ok := value.(string); ok && len(text) > limit {
			value = text[:limit]
		}
		encoder.Reset()
		if err := encoder.EncodeKeyvals(keyvals[index], value); err != nil {
			return nil, err
		}
		ends = append(ends, encoded.Len())
	}
	fields := make([]field, 0, len(ends)+1)
	start := 0
	for _, end := range ends {
		key, value, _ := bytes.Cut(encoded.Bytes()[start:end], []byte("="))
		fields = append(fields, field{key: key, value: escapeUnprintable(value)})
		start = end
	}
	return fields, nil
}

// escapeUnprintable escapes the characters of an encoded value that logfmt leaves as they are although viewers take them for line ends
// or control characters, such as U+2028 and U+0085.
func escapeUnprintable(value []byte) []byte {
	isUnprintable := func(char rune) bool { return !unicode.IsPrint(char) }
	if bytes.IndexFunc(value, isUnprintable) < 0 {
		return value
	}
	text := string(value)
	if !strings.HasPrefix(text, `"`) {
		text = `"` + strings.ReplaceAll(text, `\`, `\\`) + `"`
	}
	var escaped bytes.Buffer
	for _, char := range text {
		switch {
		case unicode.IsPrint(char):
			escaped.WriteRune(char)
		case char > 0xffff:
			high, low := utf16.EncodeRune(char)
			fmt.Fprintf(&escaped, `\u%04x\u%04x`, high, low)
		default:
			fmt.Fprintf(&escaped, `\u%04x`, char)
		}
	}
	return escaped.Bytes()
}

// cutLongest shortens the longest values by the given number of bytes in total, or a few more.
func cutLongest(fields []field, excess int) {
	for excess > 0 {
		longest := &fields[0]
		for index := range fields {
			if len(fields[index].value) > len(longest.value) {
				longest = &fields[index]
			}
		}
		// At most half of a value is cut at once, so that several long values keep about the same length.
		before := len(longest.value)
		longest.value = cutValue(longest.value, max(before-excess, before/2))
		if len(longest.value) == before {
			return
		}
		excess -= before - len(longest.value)
	}
}

// cutValue returns a prefix of an encoded value of at most limit bytes that is an encoded value itself.
func cutValue(value []byte, limit int) []byte {
	quoted := bytes.HasPrefix(value, []byte(`"`))
	if quoted {
		limit--
	}
	end := 0
	for end < len(value) {
		size := 1
		switch {
		case quoted && bytes.HasPrefix(value[end:], []byte(`\u`)):
			size = len(`\u0000`)
		case quoted && value[end] == '\\':
			size = len(`\n`)
		case value[end] >= utf8.RuneSelf:
			_, size = utf8.DecodeRune(value[end:])
		}
		if end+size > limit {
			break
		}
		end += size
	}
	value = value[:end:end]
	if quoted {
		value = append(value, '"')
	}
	return value
}
