package feed_test

import (
	"errors"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasward/core/feed"
	"sassafrasward/core/revision"
)

// prefixes are those of the two watches in the model.
var prefixes = [...]string{feed.Targets: "servers/", feed.Evacuations: "op/evacuate/"}

// withPrefix returns the items whose keys have a prefix.
func withPrefix(items []feed.Item, prefix string) (list []feed.Item) {
	for _, i := range items {
		if strings.HasPrefix(i.Key, prefix) {
			list = append(list, i)
		}
	}
	return list
}

// reader is a host that reads the store with two watches and may follow another one.
type reader struct {
	*replica
	watches *feed.Watches
	// link is the stream from the host that this one follows; nil if there is none.
	link *link
}

// link is the state of a stream at the host that sends it.
type link struct {
	from *reader
	// revision is that of the follower, sent the number of changes as of the last update.
	revision revision.Revision
	sent     uint64
}

func newReader() *reader { return &reader{replica: newReplica(), watches: feed.NewWatches(2)} }

// read does one read of a watch. It lists both prefixes if the store has dropped the changes up to a revision or was
// restored; the function between is called between both lists.
func (r *reader) read(s *store, watch feed.Watch, compacted revision.Revision, between func()) {
	after := r.watches.After(watch, r.log.Revision())
	if after.IsZero() || after.Before(compacted) || after.Era() != s.revision.Era() {
		targets := s.list()
		u := feed.Update{Full: true, Revision: targets.Revision, Items: withPrefix(targets.Items, prefixes[feed.Targets])}
		between()
		u.Items = append(u.Items, withPrefix(s.list().Items, prefixes[feed.Evacuations])...)
		r.watches.ReadAll(0, u.Revision)
		r.apply(u)
		return
	}
	u := s.since(after)
	u.Items = withPrefix(u.Items, prefixes[watch])
	u.Revision = r.watches.Read(watch, 0, u.Revision, r.log.Revision())
	r.apply(u)
}

// follow starts a stream from another host.
func (r *reader) follow(from *reader) {
	r.link = &link{from: from, revision: r.log.Revision(), sent: 1 << 62}
}

// receive gets one update of the followed host, as the stream of io/feed sends it.
func (r *reader) receive() {
	l := r.link
	if l == nil || l.from.log.Revision().IsZero() {
		return
	}
	u := feed.Update{Revision: l.from.log.Revision()}
	if changes := l.from.log.Changes(); l.sent != changes {
		u, l.sent = l.from.log.Since(l.revision), changes
	}
	l.revision = revision.Max(l.revision, u.Revision)
	r.apply(u)
}

// TestTwoWatches guards against a follower that misses a change, or brings back a removed entry, because the two
// watches of its reader advance at different rates, the reader changes, or the store drops old changes or is restored
// from a backup.
func TestTwoWatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{entries: make(map[string]feed.Item)}
		s.put("servers/x", false)
		compacted := revision.Revision{}
		put := func() {
			key := rapid.SampledFrom([]string{"servers/x", "servers/y", "op/evacuate/a", "op/evacuate/b"}).Draw(t, "key")
			s.put(key, rapid.Bool().Draw(t, "deleted"))
		}
		between := func() {
			if rapid.Bool().Draw(t, "between") {
				put()
			}
		}
		hosts := []*reader{newReader(), newReader(), newReader()}
		backup := s.backup()
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			r := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				put()
			case 2:
				r.read(s, feed.Targets, compacted, between)
			case 3:
				r.read(s, feed.Evacuations, compacted, between)
			case 4:
				r.follow(hosts[rapid.IntRange(0, 2).Draw(t, "from")])
			case 5:
				r.receive()
			case 6:
				compacted = s.revision
			case 7:
				backup = s.backup()
			case 8:
				s.restore(backup)
			}
		}
		for _, watch := range []feed.Watch{feed.Targets, feed.Evacuations, feed.Targets, feed.Evacuations} {
			hosts[0].read(s, watch, compacted, func() {})
		}
		want := make(map[string]string)
		for key, item := range s.entries {
			want[key] = string(item.Value)
		}
		for i, r := range hosts {
			if i > 0 && (r.link == nil || r.link.from != hosts[0] || rapid.Bool().Draw(t, "again")) {
				r.follow(hosts[0])
			}
			if i > 0 {
				r.receive()
			}
			if !maps.Equal(r.entries, want) || r.log.Revision() != s.revision {
				t.Fatalf("host %d has %v at %v, the store %v at %v", i, r.entries, r.log.Revision(), want, s.revision)
			}
		}
	})
}

// TestEvacuationBeforeTargets guards against an evacuation that waits, at the reader or at its follower, until the
// watch of the targets has answered as well, and against its loss when the follower goes on at another reader.
func TestEvacuationBeforeTargets(t *testing.T) {
	is := is.New(t)
	s := &store{entries: make(map[string]feed.Item)}
	s.put("servers/x", false)
	first, second, follower := newReader(), newReader(), newReader()
	for _, r := range []*reader{first, second} {
		r.read(s, feed.Targets, revision.Revision{}, func() {})
	}
	follower.follow(first)
	follower.receive()
	s.put("servers/x", true)
	s.put("op/evacuate/a", false)
	first.read(s, feed.Evacuations, revision.Revision{}, nil)
	follower.receive()
	is.Equal(follower.entries, map[string]string{"servers/x": "1", "op/evacuate/a": "3"})
	is.Equal(follower.log.Revision().Number(), uint64(1)) // the removal is still to come
	second.read(s, feed.Targets, revision.Revision{}, nil)
	follower.follow(second)
	follower.receive()
	is.Equal(follower.entries, map[string]string{"op/evacuate/a": "3"})
	is.Equal(follower.log.Revision().Number(), uint64(1)) // the second reader has not read the evacuations
	follower.read(s, feed.Targets, revision.Revision{}, nil)
	follower.read(s, feed.Evacuations, revision.Revision{}, nil) // it has become a reader itself
	is.Equal(follower.log.Revision().Number(), uint64(3))
}

// TestRemovalAheadOfRevision guards against a follower that keeps a removed entry because the reader, whose other
// watch is behind, has forgotten so many removals that it sends all entries.
func TestRemovalAheadOfRevision(t *testing.T) {
	is := is.New(t)
	s := &store{entries: make(map[string]feed.Item)}
	s.put("servers/x", false)
	reader, follower := newReader(), newReader()
	reader.read(s, feed.Targets, revision.Revision{}, func() {})
	s.put("op/evacuate/a", false)
	reader.read(s, feed.Evacuations, revision.Revision{}, nil)
	follower.follow(reader)
	follower.receive()
	s.put("op/evacuate/a", true)
	for range 3000 {
		s.put("op/evacuate/b", false)
		s.put("op/evacuate/b", true)
	}
	reader.read(s, feed.Evacuations, revision.Revision{}, nil)
	is.Equal(reader.log.Revision().Number(), uint64(1))
	follower.receive()
	is.Equal(follower.entries, map[string]string{"servers/x": "1"})
	fresh := newReader()
	fresh.apply(feed.Update{Items: []feed.Item{{Key: "op/evacuate/a", Revision: revision.New(0, 2)}}})
	fresh.follow(reader) // a full update
	fresh.receive()
	is.Equal(fresh.entries, map[string]string{"servers/x": "1"})
}

// TestWatchesFreshness guards against a copy that counts as current although one of the two watches gets no answer,
// so that its followers stay with it and miss evacuations.
func TestWatchesFreshness(t *testing.T) {
	is := is.New(t)
	w, errDown := feed.NewWatches(2), errors.New("down")
	w.ReadAll(time.Second, revision.New(0, 5))
	w.Read(feed.Targets, 3*time.Second, revision.New(0, 6), revision.New(0, 5))
	is.Equal(w.CurrentAt(), time.Second)
	w.Failed(feed.Evacuations, errDown)
	w.Read(feed.Targets, 5*time.Second, revision.New(0, 7), revision.New(0, 5))
	is.Equal(w.Err(), errDown)
	is.Equal(w.CurrentAt(), time.Second)
	is.Equal(w.Read(feed.Evacuations, 6*time.Second, revision.New(0, 8), revision.New(0, 5)).Number(), uint64(7))
	is.NoErr(w.Err())
	is.Equal(w.CurrentAt(), 5*time.Second)
}

// TestOneWatch guards against a host without evacuations whose copy waits for a watch that it does not have.
func TestOneWatch(t *testing.T) {
	is := is.New(t)
	w := feed.NewWatches(1)
	w.ReadAll(time.Second, revision.New(0, 5))
	is.Equal(w.Read(feed.Targets, 2*time.Second, revision.New(0, 9), revision.New(0, 5)).Number(), uint64(9))
	is.Equal(w.CurrentAt(), 2*time.Second)
}
