package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// valid is the minimal valid settings file.
const valid = `
vm = "vm1"
availability_zone = "a"
token_secret = "00112233445566778899aabbccddeeff"
[listen]
caller = "127.0.0.1:0"
peer = "127.0.0.1:0"
admin = "127.0.0.1:0"
plaintext = true
[platform]
key_value = "127.0.0.1:1"
vm_list = "http://127.0.0.1:2/vms"
`

// load writes the text to a file and loads it with the arguments.
func load(t *testing.T, text string, arguments ...string) (Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(append([]string{"-config", file}, arguments...))
}

// Guards against an error that reports only the first fault, and against secrets in error texts.
func TestFaultsAreReportedTogether(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		want []string
	}{
		"several faults": {
			strings.NewReplacer(`"vm1"`, `"VM 1"`, `127.0.0.1:1"`, `localhost"`).Replace(valid),
			[]string{"vm = ", "platform.key_value"},
		},
		"unknown key":           {valid + "[log]\ncolour = true\n", []string{"log.colour"}},
		"short secret":          {strings.Replace(valid, "00112233445566778899aabbccddeeff", "c0ffee", 1), []string{"token_secret"}},
		"broken TOML":           {valid[:40], []string{"reading settings"}},
		"incomplete pair":       {valid + "[tls]\ncaller_key = \"k\"\n", []string{"all of them or none"}},
		"no TLS certificate":    {strings.Replace(valid, "plaintext = true", "", 1), []string{"listen.plaintext"}},
		"invalid log level":     {valid + "[log]\nlevel = \"loud\"\n", []string{"log.level"}},
		"invalid operator hash": {valid + "[[admin.operators]]\nname = \"ann\"\ncredential_sha256 = \"zz\"\n", []string{"credential_sha256"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := load(t, test.text)
			if err == nil {
				t.Fatal("no error")
			}
			for _, want := range test.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("%q lacks %q", err, want)
				}
			}
			if strings.Contains(err.Error(), "c0ffee") {
				t.Errorf("%q shows a secret", err)
			}
		})
	}
}

// Guards against any order of precedence other than flag, environment, file.
func TestOverrides(t *testing.T) {
	t.Setenv("DOTTERELGW_VM", "vm2")
	t.Setenv("DOTTERELGW_LOG_LEVEL", "warn")
	settings, err := load(t, valid, "-vm", "vm3")
	if err != nil {
		t.Fatal(err)
	}
	if settings.VM != "vm3" || settings.Log.Level != "warn" || settings.AvailabilityZone != "a" {
		t.Errorf("got %q, %q, %q", settings.VM, settings.Log.Level, settings.AvailabilityZone)
	}
}

// Guards against a panic on a malformed or truncated file.
func FuzzDecode(f *testing.F) {
	f.Add(valid)
	f.Add("vm = 1")
	f.Add("[listen]\ncaller = [")
	f.Fuzz(func(t *testing.T, text string) {
		file := filepath.Join(t.TempDir(), "settings.toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if settings, _, err := Decode(file, defaults()); err == nil {
			check(settings)
		}
	})
}
