package frontend

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/juju/errors"

	"dotterelgw/core/ids"
)

const (
	// maxStartupBytes bounds the size of the start-up packet, like MAX_STARTUP_PACKET_LENGTH in PostgreSQL.
	maxStartupBytes = 10_000
	// protocolMajor is the supported major version of the protocol.
	protocolMajor = 3
	// protocolVersion is protocol version 3.0, in which the secret of a cancel request has 4 bytes.
	protocolVersion = 3 << 16
	codeCancel      = 80877102
	codeSSL         = 80877103
	codeGSS         = 80877104
	// maxIDBytes is the maximum length of the name of an organisation or key.
	maxIDBytes = 63
)

// errMalformed is returned if the start-up packet violates the protocol.
const errMalformed = errors.ConstError("start-up packet is malformed")

// errUnsupported is returned if the caller requests an unsupported feature or setting at start-up.
const errUnsupported = errors.ConstError("not supported at start-up")

// readPacket reads one packet without a type byte. It reads no further, because the data after an SSLRequest belongs to TLS.
func readPacket(source io.Reader) (code uint32, body []byte, err error) {
	var header [8]byte
	if _, err := io.ReadFull(source, header[:]); err != nil {
		return 0, nil, fmt.Errorf("read start-up packet: %w", err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < uint32(len(header)) || length > maxStartupBytes {
		return 0, nil, fmt.Errorf("length %d: %w", length, errMalformed)
	}
	body = make([]byte, length-uint32(len(header)))
	if _, err := io.ReadFull(source, body); err != nil {
		return 0, nil, fmt.Errorf("read start-up packet: %w", err)
	}
	return binary.BigEndian.Uint32(header[4:]), body, nil
}

// startup holds the parameters of a start-up packet.
type startup struct {
	organisation ids.OrganisationID
	key          ids.KeyID
	owner        ids.OrganisationID
	route        ids.RouteName
	readOnly     bool
	idempotent   bool
	token        string
	wantsToken   bool
	// unrecognised holds the names of the protocol options that the proxy does not support.
	unrecognised []string
}

// parseStartup parses the parameters of a start-up packet.
func parseStartup(body []byte) (*startup, error) {
	startup := &startup{}
	var user, database string
	for {
		name, rest, ok := bytes.Cut(body, []byte{0})
		if !ok {
			return nil, fmt.Errorf("parameters without end: %w", errMalformed)
		}
		if len(name) == 0 {
			if len(rest) != 0 {
				return nil, fmt.Errorf("data behind the parameters: %w", errMalformed)
			}
			break
		}
		value, rest, ok := bytes.Cut(rest, []byte{0})
		if !ok {
			return nil, fmt.Errorf("parameter without value: %w", errMalformed)
		}
		body = rest
		switch name, value := string(name), string(value); {
		case name == "user":
			user = value
		case name == "database":
			database = value
		case name == "options":
			if err := startup.setOptions(value); err != nil {
				return nil, err
			}
		case name == "replication":
			if on, err := parseBool(value); err != nil || on {
				return nil, fmt.Errorf("replication: %w", errUnsupported)
			}
		case strings.HasPrefix(name, "_pq_."):
			startup.unrecognised = append(startup.unrecognised, name)
		default:
			if err := startup.setParameter(name, value); err != nil {
				return nil, err
			}
		}
	}
	slices.Sort(startup.unrecognised)
	return startup, startup.setIdentity(user, database)
}

// setIdentity splits the user ORG.KEY_ID and the database ROUTE or ORG/ROUTE. For a user of any other form it leaves the
// organisation empty, so that authentication fails as for an unknown key.
func (startup *startup) setIdentity(user, database string) error {
	if user == "" {
		return fmt.Errorf("no user: %w", errMalformed)
	}
	organisation, key, _ := strings.Cut(user, ".")
	if isID(organisation) && isID(key) {
		startup.organisation, startup.key = ids.OrganisationID(organisation), ids.KeyID(key)
	}
	owner, route, found := strings.Cut(database, "/")
	if !found {
		owner, route = string(startup.organisation), database
	}
	startup.owner, startup.route = ids.OrganisationID(owner), ids.RouteName(route)
	return nil
}

func isID(text string) bool {
	if text == "" || len(text) > maxIDBytes {
		return false
	}
	for index := range len(text) {
		char := text[index]
		if (char < 'a' || char > 'z') && (char < '0' || char > '9') && char != '_' && char != '-' {
			return false
		}
	}
	return true
}

// setOptions parses "-c name=value" and "--name=value", in which a backslash escapes a space or backslash.
func (startup *startup) setOptions(text string) error {
	words := splitOptions(text)
	for index := 0; index < len(words); index++ {
		setting := words[index]
		switch {
		case setting == "-c" && index+1 < len(words):
			index++
			setting = words[index]
		case strings.HasPrefix(setting, "--"):
			setting = setting[2:]
		case strings.HasPrefix(setting, "-c"):
			setting = setting[2:]
		default:
			return fmt.Errorf("option %q: %w", setting, errUnsupported)
		}
		name, value, ok := strings.Cut(setting, "=")
		if !ok {
			return fmt.Errorf("option without value: %w", errMalformed)
		}
		if err := startup.setParameter(strings.ReplaceAll(name, "-", "_"), value); err != nil {
			return err
		}
	}
	return nil
}

func splitOptions(text string) []string {
	var words []string
	var word strings.Builder
	inWord := false
	for index := 0; index < len(text); index++ {
		switch char := text[index]; {
		case char == '\\' && index+1 < len(text):
			index++
			word.WriteByte(text[index])
			inWord = true
		case char == ' ' || char >= '\t' && char <= '\r':
			if inWord {
				words = append(words, word.String())
				word.Reset()
				inWord = false
			}
		default:
			word.WriteByte(char)
			inWord = true
		}
	}
	if inWord {
		words = append(words, word.String())
	}
	return words
}

// setParameter applies one setting. Settings that would change the meaning of statements are refused, not ignored.
func (startup *startup) setParameter(name, value string) (err error) {
	switch name = strings.ToLower(name); name {
	case "dotterel.token":
		startup.token, startup.wantsToken = value, true
	case "dotterel.idempotent":
		startup.idempotent, err = parseBool(value)
	case "default_transaction_read_only":
		startup.readOnly, err = parseBool(value)
	case "client_encoding":
		switch strings.ToUpper(strings.Trim(value, "'\"")) {
		case "UTF8", "UTF-8", "UNICODE", "AUTO", "SQL_ASCII":
		default:
			return fmt.Errorf("client_encoding %q: %w", value, errUnsupported)
		}
	case "application_name", "fallback_application_name", "extra_float_digits", "datestyle", "timezone":
		// Drivers send these by default. They are ignored; the proxy reports its own values in ParameterStatus.
	default:
		return fmt.Errorf("setting %q: %w", name, errUnsupported)
	}
	return err
}

func parseBool(value string) (bool, error) {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		return true, nil
	case "off", "false", "no", "0", "":
		return false, nil
	}
	return false, fmt.Errorf("%q is not a boolean: %w", value, errMalformed)
}
