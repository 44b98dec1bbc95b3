package position

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"

	"github.com/juju/errors"

	"dotterelgw/core/ids"
)

const (
	// MinSecretBytes is the least length of a secret that signs tokens.
	MinSecretBytes = 16
	// MaxTokenBytes bounds the encoded token, which callers send as a start-up option.
	MaxTokenBytes = 4096

	tokenVersion = 1
	signedAs     = "dotterelgw session token\x00"
)

var encoding = base64.RawURLEncoding.Strict()

// Held is the position that a session holds in one group.
type Held struct {
	// Group is the group of the position.
	Group ids.GroupID
	// Position is the position that the session's reads must include.
	Position Position
}

// Sealer writes and checks session tokens, which are signed with HMAC-SHA-256.
type Sealer struct {
	secret []byte
}

// NewSealer returns a sealer; a secret shorter than MinSecretBytes is an error.
func NewSealer(secret []byte) (*Sealer, error) {
	if len(secret) < MinSecretBytes {
		return nil, fmt.Errorf("token secret of %d bytes, at least %d needed: %w", len(secret), MinSecretBytes, errors.NotValid)
	}
	return &Sealer{secret: append([]byte(nil), secret...)}, nil
}

// Seal returns a token for the organisation's sessions that holds the positions.
func (sealer *Sealer) Seal(org ids.OrganisationID, held ...Held) string {
	payload := appendText([]byte{tokenVersion}, string(org))
	payload = binary.AppendUvarint(payload, uint64(len(held)))
	for _, one := range held {
		payload = appendText(payload, string(one.Group))
		payload = binary.AppendUvarint(payload, uint64(one.Position.Term))
		payload = binary.AppendUvarint(payload, uint64(one.Position.Log))
	}
	return encoding.EncodeToString(append(payload, sealer.sign(payload)...))
}

// Open returns the positions of a token that was sealed for the organisation; anything else is an error.
func (sealer *Sealer) Open(org ids.OrganisationID, token string) ([]Held, error) {
	if len(token) > MaxTokenBytes {
		return nil, fmt.Errorf("session token of %d bytes: %w", len(token), errors.NotValid)
	}
	raw, err := encoding.DecodeString(token)
	if err != nil || len(raw) < sha256.Size {
		return nil, fmt.Errorf("session token encoding: %w", errors.NotValid)
	}
	payload, signature := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	if !hmac.Equal(signature, sealer.sign(payload)) {
		return nil, fmt.Errorf("session token signature: %w", errors.NotValid)
	}
	reader := reader{rest: payload}
	if reader.octet() != tokenVersion {
		return nil, fmt.Errorf("session token version: %w", errors.NotValid)
	}
	if reader.text() != string(org) {
		return nil, fmt.Errorf("session token of another organisation: %w", errors.NotValid)
	}
	count := reader.number()
	if count > uint64(len(payload)) {
		return nil, fmt.Errorf("session token length: %w", errors.NotValid)
	}
	held := make([]Held, 0, count)
	for range count {
		one := Held{Group: ids.GroupID(reader.text())}
		one.Position = Position{Term: ids.Term(reader.number()), Log: ids.LogPosition(reader.number())}
		held = append(held, one)
	}
	if reader.failed || len(reader.rest) > 0 {
		return nil, fmt.Errorf("session token length: %w", errors.NotValid)
	}
	return held, nil
}

func (sealer *Sealer) sign(payload []byte) []byte {
	mac := hmac.New(sha256.New, sealer.secret)
	mac.Write([]byte(signedAs))
	mac.Write(payload)
	return mac.Sum(nil)
}

func appendText(payload []byte, text string) []byte {
	return append(binary.AppendUvarint(payload, uint64(len(text))), text...)
}

// reader takes values off a payload; after a failure it returns zero values.
type reader struct {
	rest   []byte
	failed bool
}

func (reader *reader) octet() byte {
	if len(reader.rest) == 0 {
		reader.failed = true
		return 0
	}
	octet := reader.rest[0]
	reader.rest = reader.rest[1:]
	return octet
}

func (reader *reader) number() uint64 {
	number, size := binary.Uvarint(reader.rest)
	if size <= 0 {
		reader.failed, reader.rest = true, nil
		return 0
	}
	reader.rest = reader.rest[size:]
	return number
}

func (reader *reader) text() string {
	length := reader.number()
	if length > uint64(len(reader.rest)) {
		reader.failed, reader.rest = true, nil
		return ""
	}
	text := string(reader.rest[:length])
	reader.rest = reader.rest[length:]
	return text
}
