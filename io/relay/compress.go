package relay

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
)

const (
	// minCompressBytes is the length from which on a value is compressed.
	minCompressBytes = 1 << 10
	// maxDecompressedBytes bounds a decompressed value; the service holds no larger ones.
	maxDecompressedBytes = 2 << 20
)

// errValueTooLong states that a decompressed value exceeds maxDecompressedBytes.
var errValueTooLong = errors.New("value too long")

// record is an entry as VMs send it to each other.
type record struct {
	Key      string       `cbor:"key"`
	Value    []byte       `cbor:"value"`
	Revision ids.Revision `cbor:"revision"`
	// Compressed states that Value is compressed with DEFLATE.
	Compressed bool `cbor:"packed,omitempty"`
	// Leased states whether the entry is removed once its writer stops renewing a lease.
	Leased bool `cbor:"leased,omitempty"`
}

// compressionCache holds the compressed record of the newest revision of each key, since each record is sent many times.
type compressionCache map[string]record

// record returns the entry as a record, with a compressed value if it is long.
func (cache compressionCache) record(entry config.Entry) record {
	plain := record{Key: entry.Key, Value: entry.Value, Revision: entry.Revision, Leased: entry.Leased}
	if len(entry.Value) < minCompressBytes {
		return plain
	}
	cached, ok := cache[entry.Key]
	if ok && cached.Revision == entry.Revision {
		return cached
	}
	compressed := plain
	compressed.Value, compressed.Compressed = compress(entry.Value), true
	cache[entry.Key] = compressed
	return compressed
}

// compress returns the value compressed with DEFLATE.
func compress(value []byte) []byte {
	var compressed bytes.Buffer
	// Neither call fails: the level is valid, and writing to a buffer never fails.
	writer, _ := flate.NewWriter(&compressed, flate.BestSpeed)
	_, _ = writer.Write(value)
	_ = writer.Close()
	return compressed.Bytes()
}

// entry returns the record as an entry with its decompressed value.
func (record record) entry() (config.Entry, error) {
	entry := config.Entry{Key: record.Key, Value: record.Value, Revision: record.Revision, Leased: record.Leased}
	if !record.Compressed {
		return entry, nil
	}
	reader := flate.NewReader(bytes.NewReader(record.Value))
	value, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err == nil && len(value) > maxDecompressedBytes {
		err = errValueTooLong
	}
	if err != nil {
		return config.Entry{}, fmt.Errorf("decompressing the value of key %q: %w", record.Key, err)
	}
	entry.Value = value
	return entry, nil
}
