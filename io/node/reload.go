package node

import (
	"context"
	"os"
	"time"
)

// fileCheckInterval is the time between two checks of the settings file, which may change without a signal.
const fileCheckInterval = time.Second

// WatchSettings reloads the settings file on each signal and whenever the file changes, until the context ends.
func (node *Node) WatchSettings(ctx context.Context, file string, signals <-chan os.Signal) {
	ticker := time.NewTicker(fileCheckInterval)
	defer ticker.Stop()
	loaded, err := os.ReadFile(file)
	if err != nil {
		// If the file becomes readable later, that counts as a change.
		node.eventLog.Event("settings_unreadable", "file", file, "err", err)
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
			node.eventLog.LimitedEvent("settings_unreadable", "file", file, "err", err)
			continue
		}
		if cause == "file" && string(content) == string(loaded) {
			continue
		}
		loaded = content
		node.Reload(file, cause)
	}
}
