package contract

import (
	"encoding/base64"
	"errors"
	"strconv"
	"strings"
)

const (
	// minIterations is the least number that RFC 7677 allows.
	minIterations = 4096
	maxIterations = 10_000_000
	// digestBytes is the length of a SHA-256 digest.
	digestBytes  = 32
	minSaltBytes = 8
	maxSaltBytes = 64
)

var errVerifier = errors.New("the verifier must be SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY with at least 4096 " +
	"iterations, a salt of 8 to 64 bytes and keys of 32 bytes, all in base64")

// CheckVerifier checks the syntax of a verifier. The error never holds any part of it.
func CheckVerifier(verifier string) error {
	parameters, ok := strings.CutPrefix(verifier, "SCRAM-SHA-256$")
	if !ok {
		return errVerifier
	}
	front, back, ok := strings.Cut(parameters, "$")
	iterations, salt, okFront := strings.Cut(front, ":")
	stored, server, okBack := strings.Cut(back, ":")
	if !ok || !okFront || !okBack {
		return errVerifier
	}
	count, err := strconv.Atoi(iterations)
	if err != nil || count < minIterations || count > maxIterations {
		return errVerifier
	}
	if size := decodedLength(salt); size < minSaltBytes || size > maxSaltBytes {
		return errVerifier
	}
	if decodedLength(stored) != digestBytes || decodedLength(server) != digestBytes {
		return errVerifier
	}
	return nil
}

func decodedLength(text string) int {
	decoded, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil {
		return -1
	}
	return len(decoded)
}
