package admin

import (
	"slices"
	"strings"
	"sync"

	"dotterelgw/core/config"
)

// index holds the keys of all contracts and groups, since Control can only look up single keys.
type index struct {
	mutex sync.Mutex
	keys  map[string]struct{}
}

func newIndex() *index { return &index{keys: map[string]struct{}{}} }

// add records the key of an entry. Entries of other kinds are ignored.
func (index *index) add(entry config.Entry) {
	if !strings.HasPrefix(entry.Key, config.ContractPrefix) && !strings.HasPrefix(entry.Key, config.GroupPrefix) {
		return
	}
	index.mutex.Lock()
	defer index.mutex.Unlock()
	index.keys[entry.Key] = struct{}{}
}

// list returns the keys with the prefix in sorted order.
func (index *index) list(prefix string) []string {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	var keys []string
	for key := range index.keys {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
