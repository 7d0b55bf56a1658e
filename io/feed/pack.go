package feed

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"

	"google.golang.org/protobuf/proto"

	"sassafrasward/core/feed"
	"sassafrasward/io/feed/message"
)

// maxUnpackedBytes is the maximum size of the entries of one update.
const maxUnpackedBytes = 16 << 20

// errTooLarge is returned for an update that exceeds maxUnpackedBytes.
var errTooLarge = errors.New("update exceeds the maximum size")

// pack encodes and compresses entries.
func pack(items []feed.Item) (packed []byte, err error) {
	m := &message.Entries{}
	for _, i := range items {
		m.Entries = append(m.Entries, &message.Entry{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// unpack decodes what pack returned.
func unpack(packed []byte) (items []feed.Item, err error) {
	if len(packed) == 0 {
		return nil, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(raw) > maxUnpackedBytes:
		return nil, errTooLarge
	}
	m := &message.Entries{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return nil, err
	}
	for _, e := range m.GetEntries() {
		items = append(items, feed.Item{Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision(), Deleted: e.GetDeleted()})
	}
	return items, nil
}
