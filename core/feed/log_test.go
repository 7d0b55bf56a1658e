package feed_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasward/core/feed"
	"sassafrasward/core/revision"
)

// store is a model of the store: its entries, and all changes since the start.
type store struct {
	revision revision.Revision
	entries  map[string]feed.Item
	history  []feed.Item
	// writes is the number of changes, also of those that a restore took back.
	writes int
}

// backup returns a copy of the store.
func (s *store) backup() *store {
	return &store{revision: s.revision, entries: maps.Clone(s.entries), history: slices.Clone(s.history)}
}

// restore makes the store come back from a backup in a new era.
func (s *store) restore(b *store) {
	era := s.revision.Era() + 1
	s.revision, s.entries, s.history = revision.New(era, b.revision.Number()), make(map[string]feed.Item), nil
	for key, item := range b.entries {
		item.Revision = revision.New(era, item.Revision.Number())
		s.entries[key] = item
	}
	for _, item := range b.history {
		item.Revision = revision.New(era, item.Revision.Number())
		s.history = append(s.history, item)
	}
}

func (s *store) put(key string, deleted bool) {
	s.writes++
	s.revision = revision.New(s.revision.Era(), s.revision.Number()+1)
	item := feed.Item{Key: key, Revision: s.revision, Deleted: deleted}
	if deleted {
		delete(s.entries, key)
	} else {
		item.Value = fmt.Append(nil, s.writes)
		s.entries[key] = item
	}
	s.history = append(s.history, item)
}

// since returns what a long poll returns, and list what a full read returns.
func (s *store) since(after revision.Revision) feed.Update {
	u := feed.Update{Revision: s.revision}
	for _, item := range s.history {
		if item.Revision.Number() > after.Number() {
			u.Items = append(u.Items, item)
		}
	}
	return u
}

func (s *store) list() feed.Update {
	u := feed.Update{Revision: s.revision, Full: true}
	for _, item := range s.entries {
		u.Items = append(u.Items, item)
	}
	return u
}

// replica applies the changes that a log reports, as a host does.
type replica struct {
	log     *feed.Log
	entries map[string]string
}

func newReplica() *replica { return &replica{log: feed.NewLog(), entries: make(map[string]string)} }

func (r *replica) apply(u feed.Update) {
	for _, item := range r.log.Apply(u) {
		if item.Deleted {
			delete(r.entries, item.Key)
		} else {
			r.entries[item.Key] = string(item.Value)
		}
	}
}

// TestReplicasConverge guards against a host that brings back a removed entry or keeps an old one,
// whatever it receives from the store and from other hosts, in whatever order and however late, also while the store is
// restored from backups.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{entries: make(map[string]feed.Item)}
		s.put("x", false)
		replicas := []*replica{newReplica(), newReplica(), newReplica()}
		// late has what each replica may still receive: the changes that were sent to it, and all full
		// updates. Changes since a revision say nothing to a replica that has not reached it.
		var late [3][]feed.Update
		backup := s.backup()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			to := rapid.IntRange(0, 2).Draw(t, "replica")
			r := replicas[to]
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				s.put(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key"), rapid.Bool().Draw(t, "deleted"))
			case 2:
				for i := range late {
					late[i] = append(late[i], s.list())
				}
				r.apply(s.list())
			case 3:
				if !r.log.Revision().IsZero() {
					u := s.since(r.log.Revision())
					late[to] = append(late[to], u)
					r.apply(u)
				}
			case 4:
				from := replicas[rapid.IntRange(0, 2).Draw(t, "from")]
				if !from.log.Revision().IsZero() {
					u := from.log.Since(r.log.Revision())
					late[to] = append(late[to], u)
					r.apply(u)
				}
			case 5:
				if len(late[to]) > 0 && !r.log.Revision().IsZero() {
					r.apply(rapid.SampledFrom(late[to]).Draw(t, "late"))
				}
			case 6:
				backup = s.backup()
			case 7:
				s.restore(backup)
			}
		}
		replicas[0].apply(s.list())
		replicas[1].apply(replicas[0].log.Since(replicas[1].log.Revision()))
		replicas[2].apply(replicas[1].log.Since(replicas[2].log.Revision()))
		want := make(map[string]string)
		for key, item := range s.entries {
			want[key] = string(item.Value)
		}
		for i, r := range replicas {
			if !maps.Equal(r.entries, want) {
				t.Fatalf("replica %d has %v, the store %v", i, r.entries, want)
			}
		}
	})
}

// TestManyRemovals guards against a copy that grows with each target that ever left, and against a
// host that misses a removal that is forgotten: it gets all entries instead.
func TestManyRemovals(t *testing.T) {
	is := is.New(t)
	s := &store{entries: make(map[string]feed.Item)}
	reader := newReplica()
	s.put("kept", false)
	s.put("early", false)
	reader.apply(s.list())
	behind := newReplica()
	behind.apply(reader.log.Since(revision.Revision{}))
	s.put("early", true)
	for i := range 5000 {
		key := fmt.Sprintf("target%d", i)
		s.put(key, false)
		s.put(key, true)
	}
	reader.apply(s.since(reader.log.Revision()))
	u := reader.log.Since(behind.log.Revision())
	is.True(u.Full)
	is.Equal(len(u.Items), 1)
	behind.apply(u)
	is.Equal(behind.entries, map[string]string{"kept": "1"})
	is.True(len(reader.log.Since(revision.New(0, s.revision.Number()-10)).Items) < 11) // the newest removals are known
}
