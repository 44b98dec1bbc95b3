package frontend

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/xdg-go/scram"
)

const (
	mechanism = "SCRAM-SHA-256"
	// mockIterations is the iteration count that PostgreSQL uses for its verifiers.
	mockIterations = 4096
	// mockSaltBytes is the salt length that PostgreSQL uses for its verifiers.
	mockSaltBytes = 16
)

// errVerifier is returned if a verifier in a contract cannot be parsed.
const errVerifier = errors.ConstError("verifier is malformed")

// parseVerifier parses "SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY".
func parseVerifier(verifier string) (scram.StoredCredentials, error) {
	var stored scram.StoredCredentials
	parts := strings.Split(verifier, "$")
	if len(parts) != 3 || parts[0] != mechanism {
		return stored, errVerifier
	}
	iterations, salt, ok := strings.Cut(parts[1], ":")
	storedKey, serverKey, okKeys := strings.Cut(parts[2], ":")
	if !ok || !okKeys {
		return stored, errVerifier
	}
	count, err := strconv.Atoi(iterations)
	if err != nil || count < 1 {
		return stored, fmt.Errorf("iterations: %w", errVerifier)
	}
	rawSalt, err := base64.StdEncoding.DecodeString(salt)
	if err != nil {
		return stored, fmt.Errorf("salt: %w", errVerifier)
	}
	stored.KeyFactors = scram.KeyFactors{Salt: string(rawSalt), Iters: count}
	if stored.StoredKey, err = base64.StdEncoding.DecodeString(storedKey); err != nil || len(stored.StoredKey) != sha256.Size {
		return stored, fmt.Errorf("stored key: %w", errVerifier)
	}
	if stored.ServerKey, err = base64.StdEncoding.DecodeString(serverKey); err != nil || len(stored.ServerKey) != sha256.Size {
		return stored, fmt.Errorf("server key: %w", errVerifier)
	}
	return stored, nil
}

// mockCredentials returns credentials that no key matches. Like real credentials, they stay the same for a user, so that
// repeated attempts do not reveal which users exist.
func mockCredentials(secret []byte, user string) scram.StoredCredentials {
	derive := func(purpose string) []byte {
		mac := hmac.New(sha256.New, secret)
		mac.Write([]byte(purpose + "\x00" + user))
		return mac.Sum(nil)
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(derive("salt")[:mockSaltBytes]), Iters: mockIterations},
		StoredKey:  derive("stored"),
		ServerKey:  derive("server"),
	}
}
