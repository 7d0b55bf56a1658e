package gossip

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"fmt"
	"io"

	"sassafrasward/core/config"
)

// pack compresses a document for the wire.
func compress(raw []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(raw) // a bytes.Buffer takes all writes
	_ = w.Close()
	return b.Bytes()
}

// unpack returns the document in packed if it has the hash.
func decompress(compressed []byte, hash [sha256.Size]byte) (raw []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	raw, err = io.ReadAll(io.LimitReader(r, config.MaxBytes+1))
	if err != nil {
		return nil, err
	}
	if sum := sha256.Sum256(raw); sum != hash {
		return nil, fmt.Errorf("the document hashes to %x instead of %x", sum[:4], hash[:4])
	}
	return raw, nil
}
