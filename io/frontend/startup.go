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
	// maxStartupBytes bounds the start-up packet, as MAX_STARTUP_PACKET_LENGTH does in PostgreSQL.
	maxStartupBytes = 10_000
	// protocolMajor is the supported major version of the protocol.
	protocolMajor = 3
	// protocolVersion is version 3.0, whose cancel secret has 4 bytes.
	protocolVersion = 3 << 16
	codeCancel      = 80877102
	codeSSL         = 80877103
	codeGSS         = 80877104
	// maxIDBytes is the greatest length of an organisation, key or route name.
	maxIDBytes = 63
)

// errMalformed states that the start-up packet violates the protocol.
const errMalformed = errors.ConstError("start-up packet is malformed")

// errUnsupported states that the caller asks at start-up for something that is not offered.
const errUnsupported = errors.ConstError("not supported at start-up")

// readPacket reads one packet without a type byte, and nothing behind it: what follows an SSLRequest must go through TLS.
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

// start is what a caller asks for at start-up.
type start struct {
	organisation ids.OrganisationID
	key          ids.KeyID
	owner        ids.OrganisationID
	route        ids.RouteName
	readOnly     bool
	idempotent   bool
	token        string
	wantsToken   bool
	// unrecognised holds the protocol options that the proxy does not know.
	unrecognised []string
}

// parseStart parses the parameters of a start-up packet.
func parseStart(body []byte) (*start, error) {
	start := &start{}
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
			if err := start.options(value); err != nil {
				return nil, err
			}
		case name == "replication":
			if on, err := boolean(value); err != nil || on {
				return nil, fmt.Errorf("replication: %w", errUnsupported)
			}
		case strings.HasPrefix(name, "_pq_."):
			start.unrecognised = append(start.unrecognised, name)
		default:
			if err := start.set(name, value); err != nil {
				return nil, err
			}
		}
	}
	slices.Sort(start.unrecognised)
	return start, start.identify(user, database)
}

// identify splits the user ORG.KEY_ID and the database ROUTE or ORG/ROUTE. A user of another form cannot exist; it
// leaves the organisation empty, so that it fails like an unknown key.
func (start *start) identify(user, database string) error {
	if user == "" {
		return fmt.Errorf("no user: %w", errMalformed)
	}
	organisation, key, _ := strings.Cut(user, ".")
	if isID(organisation) && isID(key) {
		start.organisation, start.key = ids.OrganisationID(organisation), ids.KeyID(key)
	}
	owner, route, found := strings.Cut(database, "/")
	if !found {
		owner, route = string(start.organisation), database
	}
	start.owner, start.route = ids.OrganisationID(owner), ids.RouteName(route)
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

// options handles "-c name=value" and "--name=value", with a backslash before a space or backslash.
func (start *start) options(text string) error {
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
		if err := start.set(strings.ReplaceAll(name, "-", "_"), value); err != nil {
			return err
		}
	}
	return nil
}

func splitOptions(text string) []string {
	var words []string
	var word strings.Builder
	open := false
	for index := 0; index < len(text); index++ {
		switch char := text[index]; {
		case char == '\\' && index+1 < len(text):
			index++
			word.WriteByte(text[index])
			open = true
		case char == ' ' || char >= '\t' && char <= '\r':
			if open {
				words = append(words, word.String())
				word.Reset()
				open = false
			}
		default:
			word.WriteByte(char)
			open = true
		}
	}
	if open {
		words = append(words, word.String())
	}
	return words
}

// set takes one setting. Settings that would change what statements mean are refused rather than ignored.
func (start *start) set(name, value string) (err error) {
	switch name = strings.ToLower(name); name {
	case "dotterel.token":
		start.token, start.wantsToken = value, true
	case "dotterel.idempotent":
		start.idempotent, err = boolean(value)
	case "default_transaction_read_only":
		start.readOnly, err = boolean(value)
	case "client_encoding":
		switch strings.ToUpper(strings.Trim(value, "'\"")) {
		case "UTF8", "UTF-8", "UNICODE", "AUTO", "SQL_ASCII":
		default:
			return fmt.Errorf("client_encoding %q: %w", value, errUnsupported)
		}
	case "application_name", "fallback_application_name", "extra_float_digits", "datestyle", "timezone":
		// Drivers send these routinely; the proxy reports its own values by ParameterStatus.
	default:
		return fmt.Errorf("setting %q: %w", name, errUnsupported)
	}
	return err
}

func boolean(value string) (bool, error) {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		return true, nil
	case "off", "false", "no", "0", "":
		return false, nil
	}
	return false, fmt.Errorf("%q is not a boolean: %w", value, errMalformed)
}
