package buildinfo

import (
	"debug/elf"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
)

// Unknown stands for what the executable does not contain.
const Unknown = "unknown"

const (
	// executable is the running executable, also after a later build has replaced the file that it was started from.
	executable = "/proc/self/exe"
	// noteSection is the section in which the Go linker stores the build ID.
	noteSection = ".note.go.buildid"
	// maxNoteBytes bounds the section; a build ID has 83 bytes.
	maxNoteBytes = 1024
	// noteHeaderBytes is the length of the fields before the name of a note: the lengths of its name and of its content, and its type.
	noteHeaderBytes = 12
	// noteAlignment is the alignment of the content of a note.
	noteAlignment = 4
)

// errNoBuildID tells that a file holds no build ID of the Go linker.
var errNoBuildID = errors.New("no Go build ID")

// Info identifies a build.
type Info struct {
	// Version is the version of the main module.
	Version string
	// Revision is the commit, Unknown if the build was made without version control.
	Revision string
	// Modified is set if the build was made with uncommitted changes.
	Modified bool
	// GoVersion is the version of the toolchain.
	GoVersion string
	// ID is the build ID of the executable, as printed by "go tool buildid".
	ID string
}

// Read returns what the running executable tells about its build.
func Read() Info {
	info := Info{Version: Unknown, Revision: Unknown, GoVersion: Unknown, ID: Unknown}
	if build, ok := debug.ReadBuildInfo(); ok {
		info.Version, info.GoVersion = build.Main.Version, build.GoVersion
		for _, setting := range build.Settings {
			switch setting.Key {
			case "vcs.revision":
				info.Revision = setting.Value
			case "vcs.modified":
				info.Modified = setting.Value == "true"
			}
		}
	}
	if id, err := executableID(); err == nil {
		info.ID = id
	}
	return info
}

// executableID returns the build ID of the running executable.
func executableID() (string, error) {
	file, err := os.Open(executable)
	if err != nil {
		return "", fmt.Errorf("opening the executable: %w", err)
	}
	defer func() { _ = file.Close() }()
	return idOf(file)
}

// idOf returns the build ID of an ELF executable.
func idOf(file io.ReaderAt) (string, error) {
	parsed, err := elf.NewFile(file)
	if err != nil {
		return "", fmt.Errorf("reading the executable: %w", err)
	}
	section := parsed.Section(noteSection)
	if section == nil || section.Size > maxNoteBytes {
		return "", errNoBuildID
	}
	note, err := section.Data()
	if err != nil {
		return "", fmt.Errorf("reading the build ID: %w", err)
	}
	return decodeNote(note, parsed.ByteOrder)
}

// decodeNote returns the content of an ELF note.
func decodeNote(note []byte, order binary.ByteOrder) (string, error) {
	if len(note) < noteHeaderBytes {
		return "", errNoBuildID
	}
	nameLength, contentLength := uint64(order.Uint32(note)), uint64(order.Uint32(note[4:]))
	start := noteHeaderBytes + (nameLength+noteAlignment-1)/noteAlignment*noteAlignment
	if end := start + contentLength; contentLength > 0 && end <= uint64(len(note)) {
		return string(note[start:end]), nil
	}
	return "", errNoBuildID
}
