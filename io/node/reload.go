package node

import (
	"context"
	"os"
	"time"
)

// fileCheck is the time between two looks at the settings file, which may change without a signal.
const fileCheck = time.Second

// Follow reloads the settings file on each signal and when the file changes, until the context ends.
func (node *Node) Follow(ctx context.Context, file string, signals <-chan os.Signal) {
	ticker := time.NewTicker(fileCheck)
	defer ticker.Stop()
	held, err := os.ReadFile(file)
	if err != nil {
		// A file that can be read later counts as changed then.
		node.decisions.Event("settings_unreadable", "file", file, "err", err)
	}
	for {
		cause := "file"
		select {
		case <-ctx.Done():
			return
		case signal := <-signals:
			cause = signal.String()
		case <-ticker.C:
		}
		content, err := os.ReadFile(file)
		if err != nil {
			node.decisions.Request("settings_unreadable", "file", file, "err", err)
			continue
		}
		if cause == "file" && string(content) == string(held) {
			continue
		}
		held = content
		node.Reload(file, cause)
	}
}
