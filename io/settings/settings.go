package settings

import (
	"time"

	"dotterelgw/core/ids"
)

// Settings holds the settings of one process, which are read once at its start.
type Settings struct {
	// VM is the identifier of the VM that runs the process.
	VM ids.VMID `toml:"vm"`
	// AvailabilityZone is the availability zone of the VM.
	AvailabilityZone ids.AvailabilityZone `toml:"availability_zone"`
	// TokenSecret is the hexadecimal secret of at least 16 bytes that signs session tokens; all VMs share it.
	TokenSecret string `toml:"token_secret"`
	// Listen holds the addresses that the process listens on.
	Listen Listen `toml:"listen"`
	// Platform holds the addresses of the services of the platform.
	Platform Platform `toml:"platform"`
	// TLS holds the files of certificates and keys.
	TLS TLS `toml:"tls"`
	// Backend holds the credentials for backend servers.
	Backend Backend `toml:"backend"`
	// Admin holds the operators of the administration API.
	Admin Admin `toml:"admin"`
	// Limits holds the limits on the messages and connections of callers.
	Limits Limits `toml:"limits"`
	// Drain holds the delays of a planned stop.
	Drain Drain `toml:"drain"`
	// Log holds the settings of the log.
	Log Log `toml:"log"`
}

// Listen holds the IP address and port of each listener; port 0 lets the system choose a free port.
type Listen struct {
	// Caller is the address for callers.
	Caller string `toml:"caller"`
	// Peer is the address for other VMs.
	Peer string `toml:"peer"`
	// Admin is the address of the administration API.
	Admin string `toml:"admin"`
	// Plaintext allows callers to connect without TLS.
	Plaintext bool `toml:"plaintext"`
}

// Platform holds the addresses of the services of the platform.
type Platform struct {
	// KeyValue is the IP address and port of the key-value service.
	KeyValue string `toml:"key_value"`
	// VMList is the URL of the list of live and leaving VMs.
	VMList string `toml:"vm_list"`
}

// TLS holds the paths of PEM files.
type TLS struct {
	// Certificate is the certificate of this VM for connections of peers and of the administration API.
	Certificate string `toml:"certificate"`
	// Key is the private key of Certificate.
	Key string `toml:"key"`
	// CA is the certificate authority of the peers.
	CA string `toml:"ca"`
	// CallerCertificate is the server certificate for connections of callers.
	CallerCertificate string `toml:"caller_certificate"`
	// CallerKey is the private key of CallerCertificate.
	CallerKey string `toml:"caller_key"`
}

// Backend holds the credentials for backend servers.
type Backend struct {
	// User is the user that runs the statements of callers.
	User string `toml:"user"`
	// Password is the password of User.
	Password string `toml:"password"`
	// ControlUser is the user that reads the status of servers and promotes them.
	ControlUser string `toml:"control_user"`
}

// Admin holds the operators of the administration API.
type Admin struct {
	// Operators holds the users that may access the API.
	Operators []Operator `toml:"operators"`
}

// Operator is one user of the administration API.
type Operator struct {
	// Name identifies the operator in logs.
	Name string `toml:"name"`
	// CredentialSHA256 is the hexadecimal SHA-256 of the operator's credential.
	CredentialSHA256 string `toml:"credential_sha256"`
}

// Limits holds the limits on the messages and connections of callers.
type Limits struct {
	// MaxMessageBytes is the maximum size of a message from a caller.
	MaxMessageBytes int `toml:"max_message_bytes"`
	// MaxConnections is the maximum number of caller connections.
	MaxConnections int `toml:"max_connections"`
}

// Drain holds the delays of a planned stop.
type Drain struct {
	// DelayMS is the time in milliseconds between reporting not ready and closing the listener.
	DelayMS int `toml:"delay_ms"`
	// GraceMS is the time in milliseconds that open transactions have to finish.
	GraceMS int `toml:"grace_ms"`
}

// Delay returns the time between reporting not ready and closing the listener.
func (drain Drain) Delay() time.Duration { return time.Duration(drain.DelayMS) * time.Millisecond }

// Grace returns the time that open transactions have to finish.
func (drain Drain) Grace() time.Duration { return time.Duration(drain.GraceMS) * time.Millisecond }

// Log holds the settings of the log.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string `toml:"level"`
}

// defaults returns the values of settings that the file omits.
func defaults() Settings {
	return Settings{
		Backend: Backend{User: "dotterel", ControlUser: "dotterel_control"},
		Limits:  Limits{MaxMessageBytes: 16 << 20, MaxConnections: 8000},
		Drain:   Drain{DelayMS: 3000, GraceMS: 30000},
		Log:     Log{Level: "info"},
	}
}
