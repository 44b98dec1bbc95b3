package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
)

// Operator is a user of the administration API.
type Operator struct {
	// Name identifies the operator in the log.
	Name string
	// Digest is the SHA-256 of the operator's credential.
	Digest [sha256.Size]byte
}

// NewOperator returns an operator. credentialSHA256 is the digest in hexadecimal, as in the settings.
func NewOperator(name, credentialSHA256 string) (Operator, error) {
	operator := Operator{Name: name}
	digest, err := hex.DecodeString(credentialSHA256)
	if err != nil || len(digest) != sha256.Size {
		return Operator{}, fmt.Errorf("operator %s: the credential's SHA-256 must be %d hexadecimal digits", name, 2*sha256.Size)
	}
	copy(operator.Digest[:], digest)
	return operator, nil
}

// authenticate returns the operator whose credential the request carries. It compares the credential with those of all
// operators, so that the duration does not depend on which one matches.
func authenticate(operators []Operator, request *http.Request) (Operator, bool) {
	scheme, credential, _ := strings.Cut(request.Header.Get("Authorization"), " ")
	digest := sha256.Sum256([]byte(strings.TrimSpace(credential)))
	found := -1
	for i := range operators {
		match := subtle.ConstantTimeCompare(digest[:], operators[i].Digest[:])
		found = subtle.ConstantTimeSelect(match, i, found)
	}
	if found < 0 || !strings.EqualFold(scheme, "Bearer") || credential == "" {
		return Operator{}, false
	}
	return operators[found], true
}
