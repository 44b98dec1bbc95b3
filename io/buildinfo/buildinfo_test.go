package buildinfo

import (
	"encoding/binary"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a log from which the build of a process cannot be told, as when the build was made without version control.
func TestBuildID(t *testing.T) {
	t.Parallel()
	program := filepath.Join(t.TempDir(), "program")
	build := exec.Command("go", "build", "-o", program, "dotterelgw/cmd/dotterelctl")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	want, err := exec.Command("go", "tool", "buildid", program).Output()
	if err != nil {
		t.Fatal(err)
	}
	file, err := os.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	if got, err := idOf(file); err != nil || got != strings.TrimSpace(string(want)) {
		t.Errorf("build ID %q (%v), want %q", got, err, want)
	}
}

// Guards against a start that fails or panics on an executable without a readable build ID.
func TestFaultyNote(t *testing.T) {
	t.Parallel()
	for name, note := range map[string]string{
		"empty":               "",
		"header only":         "\x04\x00\x00\x00\x00\x00\x00\x00\x04\x00\x00\x00",
		"content beyond note": "\x04\x00\x00\x00\xff\xff\xff\xff\x04\x00\x00\x00Go\x00\x00abc",
		"name beyond note":    "\xff\xff\xff\xff\x03\x00\x00\x00\x04\x00\x00\x00Go\x00\x00abc",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if id, err := decodeNote([]byte(note), binary.LittleEndian); !errors.Is(err, errNoBuildID) {
				t.Errorf("build ID %q, error %v, want %v", id, err, errNoBuildID)
			}
		})
	}
	if _, err := idOf(strings.NewReader("no executable")); err == nil {
		t.Error("a text file has a build ID")
	}
}

// BenchmarkRead measures what the start of a process costs more.
func BenchmarkRead(b *testing.B) {
	for b.Loop() {
		Read()
	}
}
