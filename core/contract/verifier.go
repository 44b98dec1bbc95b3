package contract

import (
	"encoding/base64"
	"errors"
	"strconv"
	"strings"
)

const (
	// minIterations is the minimum iteration count of RFC 7677.
	minIterations = 4096
	maxIterations = 10_000_000
	// digestBytes is the length of a SHA-256 digest.
	digestBytes  = 32
	minSaltBytes = 8
	maxSaltBytes = 64
)

var errVerifier = errors.New("the verifier must be SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY with at least 4096 " +
	"iterations, a salt of 8 to 64 bytes and keys of 32 bytes, all in base64")

// CheckVerifier checks the syntax of a verifier. The error never contains any part of the verifier.
func CheckVerifier(verifier string) error {
	parameters, ok := strings.CutPrefix(verifier, "SCRAM-SHA-256$")
	if !ok {
		return errVerifier
	}
	saltPart, keyPart, ok := strings.Cut(parameters, "$")
	iterations, salt, okSalt := strings.Cut(saltPart, ":")
	stored, server, okKeys := strings.Cut(keyPart, ":")
	if !ok || !okSalt || !okKeys {
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

// decodedLength returns the number of bytes that the base64 text encodes, or -1 if it is not valid base64.
func decodedLength(text string) int {
	decoded, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil {
		return -1
	}
	return len(decoded)
}
