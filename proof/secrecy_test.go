package proof

import (
	"bytes"
	"crypto/tls"
	"encoding/base64"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"

	"dotterelgw/core/config"
	"dotterelgw/standin/fleet"
)

// Guards against a caller's key or verifier that arrives at a backend server or is written to a log.
func TestKeysStaySecret(t *testing.T) {
	environment := startWith(t, ample, func(options *fleet.Options) { options.Capture, options.Plaintext = true, true })
	secrets := environment.secrets()
	environment.useKey()
	_, err := environment.RunControl(environment.ctx, "key", "withdraw", string(acme), string(environment.key.ID))
	environment.must(err)
	if _, err := environment.connect("vm1"); err == nil {
		t.Error("the withdrawn key was accepted")
	}
	environment.Close() // flushes buffered output
	captures, logs := environment.read("*.capture"), environment.read("*.log")
	if len(captures) != len(environment.Databases) || len(logs) < environment.Size() {
		t.Fatalf("%d captures and %d logs", len(captures), len(logs))
	}
	if !bytes.Contains(bytes.Join(captures, nil), []byte("marker")) {
		t.Error("the captures do not hold what the caller sent")
	}
	for name, secret := range secrets {
		for _, text := range append(captures, logs...) {
			if bytes.Contains(text, secret) {
				t.Errorf("the %s is in a log, or arrived at a backend server", name)
			}
		}
	}
}

// secrets returns the key in force and the parts of its verifier, as text and as bytes.
func (environment *environment) secrets() map[string][]byte {
	environment.t.Helper()
	entry, found, err := environment.terms().store.Get(environment.ctx, config.ContractKey(acme))
	environment.must(err)
	_, verifier, holds := strings.Cut(string(entry.Value), "SCRAM-SHA-256$")
	if !found || !holds {
		environment.t.Fatal("no verifier is stored")
	}
	verifier, _, _ = strings.Cut(verifier, `\"`)
	secrets := map[string][]byte{"key": []byte(environment.key.Secret), "verifier": []byte(verifier)}
	parts := strings.FieldsFunc(verifier, func(char rune) bool { return char == '$' || char == ':' })
	if len(parts) != 4 {
		environment.t.Fatalf("a verifier of %d parts", len(parts))
	}
	for index, name := range []string{"iterations", "salt", "stored key", "server key"} {
		if index == 0 {
			continue // a number that many keys share is no secret
		}
		raw, err := base64.StdEncoding.DecodeString(parts[index])
		environment.must(err)
		secrets[name], secrets[name+" in bytes"] = []byte(parts[index]), raw
		secrets[name+" in hexadecimal"] = []byte(hex.EncodeToString(raw))
	}
	return secrets
}

// useKey connects with valid and invalid variants of the key, so that each path may log or forward it.
func (environment *environment) useKey() {
	environment.t.Helper()
	for number := range environment.Size() {
		vm := fleet.VMID(number + 1)
		conn := environment.mustConnect(vm)
		environment.must(environment.exec(conn, "SELECT 'marker'"))
		_ = environment.exec(conn, "SELEC 1") // an error that a log may quote
		for _, change := range []func(*pgx.ConnConfig){
			func(config *pgx.ConnConfig) { config.TLSConfig = nil },
			func(config *pgx.ConnConfig) { config.RuntimeParams["dotterel.token"] = "" },
			func(config *pgx.ConnConfig) { config.RuntimeParams["application_name"] = "marker" },
			func(config *pgx.ConnConfig) { config.User = string(acme) + ".unknown" },
			func(config *pgx.ConnConfig) { config.Password = "x" + config.Password },
			func(config *pgx.ConnConfig) { config.TLSConfig.MaxVersion = tls.VersionTLS12 },
		} {
			settings, err := pgx.ParseConfig(environment.DSN(vm, acme, environment.key, "main"))
			environment.must(err)
			change(settings)
			conn, err := pgx.ConnectConfig(environment.ctx, settings)
			if err != nil {
				continue // refused, which is part of the test
			}
			_ = environment.exec(conn, "SELECT 'marker'")
			_ = conn.Close(environment.ctx)
		}
	}
}

// read returns the contents of the fleet's files that match the pattern.
func (environment *environment) read(pattern string) [][]byte {
	environment.t.Helper()
	files, err := filepath.Glob(filepath.Join(environment.Directory(), pattern))
	environment.must(err)
	var contents [][]byte
	for _, file := range files {
		text, err := os.ReadFile(file)
		environment.must(err)
		contents = append(contents, text)
	}
	return contents
}
