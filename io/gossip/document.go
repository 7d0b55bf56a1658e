package gossip

import (
	"sync"

	"sassafrasward/core/config"
	"sassafrasward/io/compress"
)

// document is a configuration document that other hosts can pull. It is safe for concurrent use.
type document struct {
	version config.Version

	mutex sync.Mutex
	// raw has the bytes of the document until they are compressed.
	raw []byte
	// compressed has the compressed bytes; nil until another host pulls a document that this host did not
	// pull itself.
	compressed []byte
}

func newDocument(raw []byte, v config.Version) *document { return &document{version: v, raw: raw} }

// bytes returns the compressed document.
func (d *document) bytes() (compressed []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.compressed != nil {
		return d.compressed, nil
	}
	if d.compressed, err = compress.Encode(d.raw); err != nil {
		return nil, err
	}
	d.raw = nil
	return d.compressed, nil
}
