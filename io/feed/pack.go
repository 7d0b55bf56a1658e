package feed

import (
	"google.golang.org/protobuf/proto"

	"sassafrasward/core/feed"
	"sassafrasward/core/revision"
	"sassafrasward/io/compress"
	"sassafrasward/io/feed/message"
)

// maxUnpackedBytes is the maximum size of the entries of one update.
const maxUnpackedBytes = 16 << 20

// minPackedBytes is the size of entries from which on they are compressed. Most updates have one or two
// targets.
const minPackedBytes = 1 << 10

// encode sets the entries of an update, compressed if they are large.
func encode(u *message.Update, items []feed.Item) (err error) {
	m := &message.Entries{}
	for _, i := range items {
		m.Entries = append(m.Entries, &message.Entry{Key: i.Key, Value: i.Value, Revision: i.Revision.Number(), Deleted: i.Deleted})
	}
	if proto.Size(m) < minPackedBytes {
		u.Entries = m.GetEntries()
		return nil
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	u.Packed, err = compress.Encode(raw)
	return err
}

// decode returns the entries of an update.
func decode(u *message.Update) (items []feed.Item, err error) {
	entries := u.GetEntries()
	if len(u.GetPacked()) > 0 {
		if entries, err = unpack(u.GetPacked()); err != nil {
			return nil, err
		}
	}
	for _, e := range entries {
		items = append(items, feed.Item{Key: e.GetKey(), Value: e.GetValue(), Revision: revision.New(u.GetEra(), e.GetRevision()), Deleted: e.GetDeleted()})
	}
	return items, nil
}

// unpack decompresses the entries of an update.
func unpack(packed []byte) (entries []*message.Entry, err error) {
	raw, err := compress.Decode(packed, maxUnpackedBytes)
	if err != nil {
		return nil, err
	}
	m := &message.Entries{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return nil, err
	}
	return m.GetEntries(), nil
}
