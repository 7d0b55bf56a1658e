package gossip

import (
	"crypto/sha256"
	"fmt"

	"sassafrasward/core/config"
	"sassafrasward/io/compress"
)

// decompress returns the uncompressed document. It returns an error if the SHA-256 of the
// document is not the given hash.
func decompress(compressed []byte, hash [sha256.Size]byte) (raw []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	if raw, err = compress.Decode(compressed, config.MaxBytes); err != nil {
		return nil, err
	}
	if sum := sha256.Sum256(raw); sum != hash {
		return nil, fmt.Errorf("hash of the document is %x instead of %x", sum[:4], hash[:4])
	}
	return raw, nil
}
