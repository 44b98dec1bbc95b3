package relay

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
)

const (
	// packFrom is the length in bytes from which on a value is packed.
	packFrom = 1 << 10
	// maxUnpacked bounds an unpacked value in bytes; the service holds no larger ones.
	maxUnpacked = 2 << 20
)

// record is one entry as VMs pass it on.
type record struct {
	Key      string       `cbor:"key"`
	Value    []byte       `cbor:"value"`
	Revision ids.Revision `cbor:"revision"`
	// Packed states that the value is compressed.
	Packed bool `cbor:"packed,omitempty"`
}

// packs keeps the packed values of the newest revision of each key, as each is passed on many times.
type packs map[string]record

// record returns the entry with a packed value if it is long.
func (packs packs) record(entry config.Entry) record {
	plain := record{Key: entry.Key, Value: entry.Value, Revision: entry.Revision}
	if len(entry.Value) < packFrom {
		return plain
	}
	held, ok := packs[entry.Key]
	if ok && held.Revision == entry.Revision {
		return held
	}
	packed := plain
	packed.Value, packed.Packed = pack(entry.Value), true
	packs[entry.Key] = packed
	return packed
}

// pack compresses a value.
func pack(value []byte) []byte {
	var packed bytes.Buffer
	// Neither call fails: the level is valid, and a buffer takes everything.
	writer, _ := flate.NewWriter(&packed, flate.BestSpeed)
	_, _ = writer.Write(value)
	_ = writer.Close()
	return packed.Bytes()
}

// entry returns the entry with its plain value.
func (record record) entry() (config.Entry, error) {
	entry := config.Entry{Key: record.Key, Value: record.Value, Revision: record.Revision}
	if !record.Packed {
		return entry, nil
	}
	reader := flate.NewReader(bytes.NewReader(record.Value))
	value, err := io.ReadAll(io.LimitReader(reader, maxUnpacked))
	if err != nil {
		return config.Entry{}, fmt.Errorf("unpacking %s: %w", record.Key, err)
	}
	entry.Value = value
	return entry, nil
}
