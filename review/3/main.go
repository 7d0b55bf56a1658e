// Command 3 starts a fleet while engines leave and the configuration changes, again and again, and asks
// which hosts still send requests to an engine that is gone.
package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"review/lab"
)

const (
	// hostCount is about that of leuchtfeld-fleet-grown, 66, and idleRoutes the count of its big_config.
	hostCount  = 66
	idleRoutes = 1400
	// A round starts all hosts, changes the published data changes times, changeGap apart from
	// firstChange after the start on, asks each host settleTime after the last change, and kills all
	// hosts. No round begins later than lastRound after the start of the case.
	firstChange = 300 * time.Millisecond
	changes     = 12
	changeGap   = 330 * time.Millisecond
	settleTime  = 4 * time.Second
	lastRound   = 98 * time.Second
	// engineCount is the number of engines of the service that are ready at a time.
	engineCount = 30
	// requests is the number of requests to each host, one after the other.
	requests = 60
	deadline = 2 * time.Second
	// drainTime is drainMs on the grown site.
	drainTime = 3 * time.Second
)

func main() { lab.Main(run) }

// engine is an engine of the only service.
type engine struct {
	lab         *lab.Lab
	number      int
	id, address string
	// removed is when the store acknowledged that it is gone; zero if it is not.
	removed time.Duration
	// arrivals has the IDs of the requests that reached it, and when.
	arrivals sync.Map
}

// start starts the engine and publishes it.
func (e *engine) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.id, e.address = fmt.Sprintf("i-%d", e.number), listener.Addr().String()
	go func() { _ = http.Serve(listener, e) }()
	e.lab.Store.Put("servers/"+e.id, fmt.Sprintf(
		`{"service":"verleih","address":%q,"zone":"a","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1,"born":%d}`,
		e.address, time.Now().UnixMilli()))
	return nil
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != e.id {
		lab.Refuse(w, http.StatusMisdirectedRequest)
		return
	}
	e.arrivals.Store(id, e.lab.Record.Now())
	e.lab.Record.Add("%s: runs %s", e.id, id)
	w.Header().Set("X-Response-Signature", "sig."+id)
	fmt.Fprint(w, "stock")
}

// idlePath returns a long path that does not repeat, so that the configuration has almost a megabyte.
func idlePath(n int) string {
	var parts []string
	for k := range 40 {
		parts = append(parts, fmt.Sprintf("%08x", uint32((n*40+k+1)*2654435761)))
	}
	return strings.Join(parts, "/")
}

// config returns a configuration with the route of the service and the idle routes. The versions differ in
// the timeout of the route.
func config(version int) string {
	routes := []string{fmt.Sprintf(`{"name":"stock","host":"pule25.example","prefix":"/stock/","kind":"idempotent","timeoutMs":%d,"sloMs":300,"priority":2,"service":"verleih","maxAttempts":1,"public":false}`, 2000+version)}
	for n := range idleRoutes {
		routes = append(routes, fmt.Sprintf(`{"name":"r-idle%d-%x","host":"idle%d.example","prefix":"/puxa%d/%s/","kind":"idempotent","timeoutMs":2000,"sloMs":300,"priority":2,"service":"verleih","maxAttempts":2,"stages":[],"public":false,"sticky":false,"resumable":false,"gapAimMs":0}`,
			n, n*7919, n, n, idlePath(n)))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"verleih","healthPath":"/healthz","maxConnections":460,"protocol":"h1","tls":false}],`, version, strings.Join(routes, ",")) + lab.Tail
}

// fleet is the published data, and the engines.
type fleet struct {
	lab     *lab.Lab
	version int
	engines []*engine
}

// add starts another engine.
func (f *fleet) add() error {
	e := &engine{lab: f.lab, number: len(f.engines)}
	f.engines = append(f.engines, e)
	return e.start()
}

// publish publishes the next version of the configuration.
func (f *fleet) publish() {
	f.version++
	text := config(f.version)
	f.lab.Record.Add("configuration %d has %d bytes", f.version, len(text))
	f.lab.Store.Put("op/config", text)
}

// change replaces an engine: a new one starts, and the entry of the oldest one is removed.
func (f *fleet) change() error {
	if err := f.add(); err != nil {
		return err
	}
	old := f.engines[len(f.engines)-1-engineCount]
	f.lab.Store.Delete("servers/" + old.id)
	old.removed = f.lab.Record.Now()
	f.publish()
	return nil
}

func run(l *lab.Lab) (v lab.Verdict, err error) {
	l.Bounds = lab.GrownBounds
	f := &fleet{lab: l}
	for range engineCount {
		if err := f.add(); err != nil {
			return v, err
		}
	}
	f.publish()
	var zones []string
	for n := range hostCount {
		zones = append(zones, string(rune('a'+n%3)))
	}
	for l.Record.Now() < lastRound && len(v.Broken) == 0 {
		hosts, err := l.LaunchHosts(zones...)
		if err != nil {
			return v, err
		}
		time.Sleep(firstChange)
		for range changes {
			time.Sleep(changeGap)
			if !l.Trouble {
				continue
			}
			if err := f.change(); err != nil {
				return v, err
			}
		}
		time.Sleep(settleTime)
		ready := 0
		for _, h := range hosts {
			if h.IsReady() {
				ready++
			}
		}
		l.Record.Add("%d of %d hosts are ready", ready, len(hosts))
		v.Broken = append(v.Broken, ask(l, hosts, f.engines)...)
		for _, h := range hosts {
			h.Kill()
		}
	}
	return v, nil
}

// ask sends each host requests. It returns those that reached an engine later than drainTime after its
// entry had been removed.
func ask(l *lab.Lab, hosts []*lab.Host, engines []*engine) (broken []string) {
	var clients sync.WaitGroup
	senders := make([]map[string]bool, len(hosts))
	for n, h := range hosts {
		senders[n] = make(map[string]bool)
		clients.Go(func() {
			for range requests {
				senders[n][l.Send(h.Front, lab.Request{Method: http.MethodGet, Path: "/stock/1", Deadline: deadline}).ID] = true
			}
		})
	}
	clients.Wait()
	for _, e := range engines {
		if e.removed == 0 {
			continue
		}
		e.arrivals.Range(func(id, at any) bool {
			late := at.(time.Duration) - e.removed
			for n, h := range hosts {
				if late > drainTime && senders[n][id.(string)] {
					broken = append(broken, fmt.Sprintf("DRAIN: %s sent %s to %s, %.1f s after the store had acknowledged that it is gone", h.Name, id, e.id, late.Seconds()))
				}
			}
			return true
		})
	}
	return broken
}
