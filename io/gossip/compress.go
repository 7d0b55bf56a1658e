package gossip

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"fmt"
	"io"

	"sassafrasward/core/config"
)

// compress compresses a document for sending.
func compress(raw []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(raw) // writes to a bytes.Buffer do not fail
	_ = w.Close()
	return b.Bytes()
}

// decompress returns the uncompressed document. It returns an error if the SHA-256 of the
// document is not the given hash.
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
		return nil, fmt.Errorf("hash of the document is %x instead of %x", sum[:4], hash[:4])
	}
	return raw, nil
}
