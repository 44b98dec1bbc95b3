package statemachine

import (
	"embed"
	"fmt"
	"path"
	"strings"
)

//go:embed charts/*.toml
var files embed.FS

// Named loads a chart that is embedded in this package: "connection", "session" or "vm". The actions are those that the
// calling code implements.
func Named(name string, actions ...Action) (*Chart, error) {
	source, err := files.ReadFile(path.Join("charts", name+".toml"))
	if err != nil {
		return nil, fmt.Errorf("chart %s: %w", name, err)
	}
	chart, err := Load(source, actions...)
	if err != nil {
		return nil, fmt.Errorf("chart %s: %w", name, err)
	}
	return chart, nil
}

// Names returns the names of the embedded charts.
func Names() []string {
	// The directory is embedded, so reading it cannot fail.
	entries, _ := files.ReadDir("charts")
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".toml"))
	}
	return names
}
