package mesh

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
)

const (
	// secretKey is the key of the shared secret that authenticates the datagrams of all VMs.
	secretKey = "dotterelgw/peer_secret"
	// secretBytes is the length of a new secret.
	secretBytes = 32
	// secretRetry is the pause after a failed attempt to read the secret.
	secretRetry = 300 * time.Millisecond
	// secretCheckInterval is the time between two checks whether the service was restored.
	secretCheckInterval = time.Second
)

// Store is the part of the key-value service that holds the shared secret.
type Store interface {
	// GetShared returns a record that all VMs share and that never changes; it may come from a cache.
	GetShared(ctx context.Context, key string) (config.Entry, bool, error)
	// Get returns the entry and whether it exists, as the service holds it now.
	Get(ctx context.Context, key string) (config.Entry, bool, error)
	// CompareAndSwap stores the value if the key's revision is expected; 0 expects that the key is absent.
	CompareAndSwap(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, bool, error)
	// Era returns the latest era of the service that this VM knows.
	Era() ids.Era
}

// keepSecret loads the shared secret. After each restore of the service it makes sure that the service still holds it: a VM that starts
// later would create another one, and could not exchange datagrams with the VMs that run.
func (mesh *Mesh) keepSecret(ctx context.Context, store Store) {
	checked := mesh.loadSecret(ctx, store)
	clock.Every(ctx, secretCheckInterval, func() {
		era := store.Era()
		if era <= checked {
			return
		}
		if err := mesh.restoreSecret(ctx, store); err != nil {
			mesh.eventLog.LimitedEvent("peer_secret_unknown", "era", era, "err", err)
			return
		}
		checked = era
	})
}

// loadSecret reads the shared secret until it succeeds, and returns its era; the first VM creates it. Only the first attempt may use
// the shared listing.
func (mesh *Mesh) loadSecret(ctx context.Context, store Store) ids.Era {
	for read := store.GetShared; ctx.Err() == nil; read = store.Get {
		secret, err := readSecret(ctx, store, read, newSecret)
		if err == nil && secret.Value != nil {
			mesh.secret.Store(&secret.Value)
			return secret.Revision.Era()
		}
		if err != nil {
			mesh.eventLog.LimitedEvent("peer_secret_unknown", "err", err)
			clock.Sleep(ctx, secretRetry)
		}
	}
	return 0
}

// restoreSecret stores this VM's secret if the service has lost it, or adopts the one that another VM has stored meanwhile.
func (mesh *Mesh) restoreSecret(ctx context.Context, store Store) error {
	own := mesh.secret.Load()
	secret, err := readSecret(ctx, store, store.Get, func() []byte { return *own })
	switch {
	case err != nil:
		return err
	case secret.Value == nil:
		return errSecretConflict
	case bytes.Equal(secret.Value, *own):
		return nil
	}
	mesh.previous.Store(own)
	mesh.secret.Store(&secret.Value)
	mesh.eventLog.Event("peer_secret_changed", "revision", secret.Revision)
	return nil
}

// readSecret returns the shared secret, and stores the one that create returns if there is none. The result has no value if another VM
// stores one at the same time.
func readSecret(ctx context.Context, store Store, read func(context.Context, string) (config.Entry, bool, error), create func() []byte) (config.Entry, error) {
	entry, found, err := read(ctx, secretKey)
	if err != nil {
		return config.Entry{}, fmt.Errorf("reading the peer secret: %w", err)
	}
	if found {
		return entry, nil
	}
	secret := create()
	revision, stored, err := store.CompareAndSwap(ctx, secretKey, 0, secret)
	if err != nil {
		return config.Entry{}, fmt.Errorf("creating the peer secret: %w", err)
	}
	if !stored {
		return config.Entry{}, nil
	}
	return config.Entry{Key: secretKey, Value: secret, Revision: revision}, nil
}

// errSecretConflict states that another VM stored a secret during the attempt to store one.
var errSecretConflict = errors.New("peer secret stored concurrently")

// newSecret returns a random secret.
func newSecret() []byte {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never fails, see crypto/rand
	return secret
}
