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
	// MinSecretBytes is the minimum length of the signing secret.
	MinSecretBytes = 16
	// MaxTokenBytes is the maximum length of an encoded token, which callers send as a start-up option.
	MaxTokenBytes = 4096

	tokenVersion = 1
	// signatureContext is signed ahead of the payload, so that a signature made for another purpose is not a valid token.
	signatureContext = "dotterelgw session token\x00"
)

var encoding = base64.RawURLEncoding.Strict()

// TokenSigner encodes and verifies session tokens. Tokens are signed with HMAC-SHA-256 and not encrypted.
type TokenSigner struct {
	secret []byte
}

// NewTokenSigner returns a signer that signs with the secret. A secret shorter than MinSecretBytes is an error.
func NewTokenSigner(secret []byte) (*TokenSigner, error) {
	if len(secret) < MinSecretBytes {
		return nil, fmt.Errorf("token secret has %d bytes, needs at least %d: %w", len(secret), MinSecretBytes, errors.NotValid)
	}
	return &TokenSigner{secret: append([]byte(nil), secret...)}, nil
}

// Sign returns a signed token that carries the positions and is valid for the organisation's sessions only.
func (tokenSigner *TokenSigner) Sign(org ids.OrganisationID, groupPosition ...GroupPosition) string {
	payload := appendString([]byte{tokenVersion}, string(org))
	payload = binary.AppendUvarint(payload, uint64(len(groupPosition)))
	for _, position := range groupPosition {
		payload = appendString(payload, string(position.group))
		payload = binary.AppendUvarint(payload, uint64(position.position.Term))
		payload = binary.AppendUvarint(payload, uint64(position.position.Log))
	}
	return encoding.EncodeToString(append(payload, tokenSigner.sign(payload)...))
}

// Verify verifies a token that Sign made for the organisation and returns its positions. Any other token is an error.
func (tokenSigner *TokenSigner) Verify(org ids.OrganisationID, token string) ([]GroupPosition, error) {
	if len(token) > MaxTokenBytes {
		return nil, fmt.Errorf("session token of %d bytes is too long: %w", len(token), errors.NotValid)
	}
	raw, err := encoding.DecodeString(token)
	if err != nil || len(raw) < sha256.Size {
		return nil, fmt.Errorf("decode session token: %w", errors.NotValid)
	}
	payload, signature := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	if !hmac.Equal(signature, tokenSigner.sign(payload)) {
		return nil, fmt.Errorf("verify session token signature: %w", errors.NotValid)
	}
	decoder := decoder{rest: payload}
	if decoder.readByte() != tokenVersion {
		return nil, fmt.Errorf("unsupported session token version: %w", errors.NotValid)
	}
	if decoder.readString() != string(org) {
		return nil, fmt.Errorf("session token of another organisation: %w", errors.NotValid)
	}
	count := decoder.readUvarint()
	if count > uint64(len(payload)) {
		return nil, fmt.Errorf("session token length: %w", errors.NotValid)
	}
	groupPosition := make([]GroupPosition, 0, count)
	for range count {
		position := GroupPosition{group: ids.GroupID(decoder.readString())}
		position.position = Position{Term: ids.Term(decoder.readUvarint()), Log: ids.LogPosition(decoder.readUvarint())}
		groupPosition = append(groupPosition, position)
	}
	if decoder.failed || len(decoder.rest) > 0 {
		return nil, fmt.Errorf("session token length: %w", errors.NotValid)
	}
	return groupPosition, nil
}

func (tokenSigner *TokenSigner) sign(payload []byte) []byte {
	mac := hmac.New(sha256.New, tokenSigner.secret)
	mac.Write([]byte(signatureContext))
	mac.Write(payload)
	return mac.Sum(nil)
}

func appendString(payload []byte, text string) []byte {
	return append(binary.AppendUvarint(payload, uint64(len(text))), text...)
}

// decoder reads values from the start of a payload. After the first error, failed is set and reads of missing data return
// zero values.
type decoder struct {
	rest   []byte
	failed bool
}

func (decoder *decoder) readByte() byte {
	if len(decoder.rest) == 0 {
		decoder.failed = true
		return 0
	}
	value := decoder.rest[0]
	decoder.rest = decoder.rest[1:]
	return value
}

func (decoder *decoder) readUvarint() uint64 {
	value, size := binary.Uvarint(decoder.rest)
	if size <= 0 {
		decoder.failed, decoder.rest = true, nil
		return 0
	}
	decoder.rest = decoder.rest[size:]
	return value
}

func (decoder *decoder) readString() string {
	length := decoder.readUvarint()
	if length > uint64(len(decoder.rest)) {
		decoder.failed, decoder.rest = true, nil
		return ""
	}
	text := string(decoder.rest[:length])
	decoder.rest = decoder.rest[length:]
	return text
}
