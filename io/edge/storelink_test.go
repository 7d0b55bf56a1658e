package edge_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"sassafrasward/platform/standin"
)

// storeLink is the path of one host to the store. It is safe for concurrent use.
type storeLink struct {
	listener net.Listener
	to       string

	mutex sync.Mutex
	// mended is closed once the path carries bytes again; nil while it does.
	mended chan struct{}
	// asked is when the host last sent something.
	asked time.Time
}

// newStoreLink opens a path to the store until the end of the test.
func newStoreLink(t *testing.T, s *standin.Store) (l *storeLink) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = &storeLink{listener: listener, to: s.Address()}
	t.Cleanup(func() {
		_ = listener.Close()
		l.mend()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
	return l
}

// carry joins a connection of the host with one to the store.
func (l *storeLink) carry(host net.Conn) {
	defer func() { _ = host.Close() }()
	store, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer func() { _ = store.Close() }()
	go func() {
		_, _ = io.Copy(gatedWriter{l, store, true}, host)
		_ = store.Close()
	}()
	_, _ = io.Copy(gatedWriter{l, host, false}, store)
}

// gatedWriter writes only while a path carries bytes.
type gatedWriter struct {
	link     *storeLink
	to       io.Writer
	fromHost bool
}

// Write implements io.Writer.
func (w gatedWriter) Write(b []byte) (n int, err error) {
	w.link.mutex.Lock()
	mended := w.link.mended
	if w.fromHost {
		w.link.asked = time.Now()
	}
	w.link.mutex.Unlock()
	if mended != nil {
		<-mended
	}
	return w.to.Write(b)
}

// cut makes the path silent.
func (l *storeLink) cut() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.mended == nil {
		l.mended = make(chan struct{})
	}
}

// mend makes the path carry bytes again, also those held back.
func (l *storeLink) mend() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.mended != nil {
		close(l.mended)
		l.mended = nil
	}
}

// used reports whether the host has lately sent something to the store.
func (l *storeLink) used() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return time.Since(l.asked) < 2500*time.Millisecond
}

// linkedFleet is hosts of which some read the store and the others follow these.
type linkedFleet struct {
	hosts []*testHost
	links []*storeLink
}

// startLinked runs hosts that have three seconds for each change, and waits until only readers use the store.
func startLinked(t *testing.T, s *standin.Store, hosts, readers int) (f linkedFleet) {
	t.Helper()
	var seeds []string
	for i := range hosts {
		l := newStoreLink(t, s)
		h := prepareHost(t, s, "e"+strconv.Itoa(i), seeds...)
		h.settings = strings.Replace(h.settings, s.Address(), l.listener.Addr().String(), 1)
		h.settings = strings.Replace(h.settings, "[edge]\n", "[edge]\ncontact = 4000\nleave = 3000\napply = 3000\n", 1)
		h.run(context.Background(), logr.Discard())
		f.hosts, f.links = append(f.hosts, h), append(f.links, l)
		if i == 0 {
			seeds = []string{h.peer}
		}
	}
	for _, h := range f.hosts {
		h.waitServed("/read/")
	}
	time.Sleep(4 * time.Second) // until the hosts know who reads
	f.hosts[0].wait(func() bool { return len(f.followers()) == hosts-readers })
	return f
}

// followers returns the hosts that do not read the store.
func (f linkedFleet) followers() (hosts []*testHost) {
	for i, l := range f.links {
		if !l.used() {
			hosts = append(hosts, f.hosts[i])
		}
	}
	return hosts
}

// cutReaders cuts the hosts that read the store from it, and returns the others.
func (f linkedFleet) cutReaders() (followers []*testHost) {
	followers = f.followers()
	for _, l := range f.links {
		if l.used() {
			l.cut()
		}
	}
	return followers
}

// TestReadersCutFromStore guards against hosts which reach the store and learn of a change too late, because all hosts
// that read it for them are cut off from it: a target that leaves, one that is removed, and a configuration; right
// after the cut, and later in it.
func TestReadersCutFromStore(t *testing.T) {
	t.Parallel()
	const bound = 3 * time.Second
	for _, c := range []struct {
		name   string
		change func(s *standin.Store, leaving *standin.Target)
		path   string
		status int
	}{
		{"leaves", func(s *standin.Store, leaving *standin.Target) { s.Register(leaving, "plain", "draining") }, "/read/", http.StatusOK},
		{"removed", func(s *standin.Store, _ *standin.Target) { s.Put("servers/i-leaving", "") }, "/read/", http.StatusOK},
		{"configuration", func(s *standin.Store, _ *standin.Target) { s.PublishConfig(2, extraRoute("second")) }, "/second/", http.StatusOK},
	} {
		for _, delay := range []time.Duration{100 * time.Millisecond, 3200 * time.Millisecond} {
			t.Run(c.name+" "+delay.String(), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newStore(t)
				s.PublishConfig(1)
				s.Register(newEngine(t, "i-kept", signed("kept")), "plain", "ready")
				leaving := newEngine(t, "i-leaving", signed("leaving"))
				s.Register(leaving, "plain", "ready")
				f := startLinked(t, s, 12, 8)
				followers := f.cutReaders()
				is.Equal(len(followers), 4)
				time.Sleep(delay)
				c.change(s, leaving)
				time.Sleep(bound)
				for i, h := range followers {
					for n := range 8 {
						status, body, _ := h.call(http.MethodGet, c.path, "r"+strconv.Itoa(8*i+n), nil)
						is.Equal(status, c.status)
						is.True(c.path != "/read/" || body == "kept")
					}
				}
			})
		}
	}
}

// TestCallsOfFollowers guards against followers that read the store although their readers reach it, also while targets
// and configurations change, and against more than one call in a second of each while all readers are cut off from it.
func TestCallsOfFollowers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	s.Register(newEngine(t, "i-kept", signed("kept")), "plain", "ready")
	f := startLinked(t, s, 12, 8)
	followers := f.followers()
	for i := range 12 {
		s.Put("servers/other", strconv.Itoa(i))
		if i%3 == 0 {
			s.PublishConfig(2 + i)
		}
		time.Sleep(500 * time.Millisecond)
		is.Equal(f.followers(), followers)
	}
	time.Sleep(2 * time.Second)
	is.Equal(f.followers(), followers)
	f.cutReaders()
	time.Sleep(2500 * time.Millisecond) // what the readers sent before the cut has arrived
	const seconds = 6
	calls := s.Calls()
	time.Sleep(seconds * time.Second)
	is.True(s.Calls()-calls > 0)
	is.True(s.Calls()-calls <= seconds*len(followers))
}
