package suite

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/platform"
)

// termPollInterval is the time between two polls of the term records.
const termPollInterval = 100 * time.Millisecond

// promotion is the start of a new term in a group.
type promotion struct {
	group string
	term  ids.Term
	at    time.Time
}

// watchTerms polls the term records and collects new terms until the returned function is called, which returns them.
func watchTerms(ctx context.Context, keyValue string) (func() []promotion, error) {
	store, err := platform.New([]string{keyValue}, "bench")
	if err != nil {
		return nil, fmt.Errorf("connecting to the key-value service: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	var promotions []promotion
	var watching sync.WaitGroup
	watching.Go(func() {
		terms := map[string]ids.Term{}
		ticker := time.NewTicker(termPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				promotions = append(promotions, newTerms(ctx, store, terms)...)
			}
		}
	})
	return func() []promotion {
		cancel()
		watching.Wait()
		_ = store.Close()
		return promotions
	}, nil
}

// newTerms returns the groups whose term has increased, and updates terms. The first known term of a group does not count
// as a promotion.
func newTerms(ctx context.Context, store platform.Client, terms map[string]ids.Term) []promotion {
	entries, _, err := store.List(ctx, config.TermKey(""))
	if err != nil {
		return nil // the next poll finds the changes
	}
	var found []promotion
	for _, entry := range entries {
		record, err := config.Decode[config.TermRecord](entry)
		if err != nil {
			continue
		}
		group := entry.Key[len(config.TermKey("")):]
		if before, known := terms[group]; known && record.Term > before {
			found = append(found, promotion{group, record.Term, time.Now()})
		}
		terms[group] = record.Term
	}
	return found
}
