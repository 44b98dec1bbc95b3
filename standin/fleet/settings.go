package fleet

import (
	"fmt"
	"os"
	"text/template"
)

var settingsTemplate = template.Must(template.New("settings").Parse(`vm = "{{.VM}}"
availability_zone = "{{.Zone}}"
token_secret = "{{.Secret}}"

[listen]
caller = "127.0.0.1:0"
peer = "{{.Peer}}"
admin = "127.0.0.1:0"
plaintext = {{.Plaintext}}

[platform]
key_value = "{{.KeyValue}}"
vm_list = "http://{{.VMList}}"

[tls]
certificate = "{{.Directory}}/{{.VM}}.pem"
key = "{{.Directory}}/{{.VM}}.key"
ca = "{{.Directory}}/ca.pem"
caller_certificate = "{{.Directory}}/{{.VM}}.pem"
caller_key = "{{.Directory}}/{{.VM}}.key"

[[admin.operators]]
name = "demo"
credential_sha256 = "{{.CredentialSHA256}}"

[drain]
delay_ms = {{.DrainDelayMS}}
grace_ms = 10000

{{.Tables}}
`))

// writeSettings writes the settings file of the proxy with the number.
func (fleet *Fleet) writeSettings(number int) error {
	vm := VMID(number)
	file, err := os.OpenFile(fleet.file(string(vm)+".toml"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("opening the settings file: %w", err)
	}
	defer func() { _ = file.Close() }()
	return settingsTemplate.Execute(file, map[string]any{
		"VM": vm, "Zone": fleet.options.zone(number - 1), "Secret": fleet.tokenSecret, "Peer": fleet.peerAddresses[vm],
		"Plaintext": fleet.options.Plaintext, "KeyValue": fleet.keyValueAddress(vm),
		"VMList": fleet.vmListAddress(vm), "Directory": fleet.options.Directory,
		"CredentialSHA256": sha256Hex(fleet.Credential), "DrainDelayMS": fleet.options.DrainDelay.Milliseconds(),
		"Tables": fleet.options.Tables,
	})
}
