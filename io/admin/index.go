package admin

import (
	"slices"
	"strings"
	"sync"

	"dotterelgw/core/config"
)

// index lists the keys of contracts and groups, which Control looks up by key only.
type index struct {
	mutex sync.Mutex
	keys  map[string]struct{}
}

func newIndex() *index { return &index{keys: map[string]struct{}{}} }

// put notes the key of an entry.
func (index *index) put(entry config.Entry) {
	if !strings.HasPrefix(entry.Key, config.ContractPrefix) && !strings.HasPrefix(entry.Key, config.GroupPrefix) {
		return
	}
	index.mutex.Lock()
	defer index.mutex.Unlock()
	index.keys[entry.Key] = struct{}{}
}

// list returns the keys with the prefix in order.
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
