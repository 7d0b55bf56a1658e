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
	// firstChange after the start on, asks each host once settleTime after the last change, and kills all
	// hosts. No round begins later than lastRound after the start of the case.
	firstChange = 300 * time.Millisecond
	changes     = 12
	changeGap   = 330 * time.Millisecond
	settleTime  = 2500 * time.Millisecond
	lastRound   = 90 * time.Second
	// ahead is the number of engines that are ready at a time.
	ahead    = 30
	deadline = 2 * time.Second
)

func main() { lab.Main(run) }

// engine is the only engine of a service, which has a route of its own.
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
		`{"service":"s%d","address":%q,"zone":"a","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1,"born":%d}`,
		e.number, e.address, time.Now().UnixMilli()))
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

// config returns a configuration with the route and the service of each engine, and the idle routes.
func config(version, engines int) string {
	var routes, services []string
	for n := range engines {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"pule25.example","prefix":"/s%d/","kind":"idempotent","timeoutMs":2000,"sloMs":300,"priority":2,"service":"s%d","maxAttempts":1,"public":false}`, n, n, n))
		services = append(services, fmt.Sprintf(`{"name":"s%d","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}`, n))
	}
	for n := range idleRoutes {
		routes = append(routes, fmt.Sprintf(`{"name":"r-idle%d-%x","host":"idle%d.example","prefix":"/puxa%d/%s/","kind":"idempotent","timeoutMs":2000,"sloMs":300,"priority":2,"service":"s0","trafficSplit":[{"service":"s0","weight":90},{"service":"s1","weight":10}],"maxAttempts":2,"stages":[],"public":false,"sticky":false,"resumable":false,"gapAimMs":0}`,
			n, n*7919, n, n, idlePath(n)))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],`, version, strings.Join(routes, ","), strings.Join(services, ",")) + lab.Tail
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
	text := config(f.version, len(f.engines))
	f.lab.Record.Add("configuration %d has %d bytes", f.version, len(text))
	f.lab.Store.Put("op/config", text)
}

// change replaces an engine: a new one starts, and the entry of the oldest one is removed.
func (f *fleet) change() error {
	if err := f.add(); err != nil {
		return err
	}
	old := f.engines[len(f.engines)-1-ahead]
	f.lab.Store.Delete("servers/" + old.id)
	old.removed = f.lab.Record.Now()
	f.publish()
	return nil
}

func run(l *lab.Lab) (v lab.Verdict, err error) {
	f := &fleet{lab: l}
	for range ahead + 1 {
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
		first := len(f.engines) - ahead - 1
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
		v.Broken = append(v.Broken, ask(l, hosts, f.engines[first:])...)
		for _, h := range hosts {
			h.Kill()
		}
	}
	return v, nil
}

// ask sends each host a request to the route of each engine that is gone, and one to an engine that is
// not. It returns the requests that reached an engine that is gone.
func ask(l *lab.Lab, hosts []*lab.Host, engines []*engine) (broken []string) {
	var mutex sync.Mutex
	var clients sync.WaitGroup
	for _, h := range hosts {
		clients.Go(func() {
			for _, e := range engines {
				if e.removed == 0 && e.number != engines[len(engines)-1].number {
					continue
				}
				r := l.Send(h.Front, lab.Request{Method: http.MethodGet, Path: fmt.Sprintf("/s%d/1", e.number), Deadline: deadline})
				at, reached := e.arrivals.Load(r.ID)
				if !reached || e.removed == 0 {
					continue
				}
				mutex.Lock()
				broken = append(broken, fmt.Sprintf("DRAIN: %s sent %s to %s, %.1f s after the store had acknowledged that it is gone",
					h.Name, r.ID, e.id, (at.(time.Duration)-e.removed).Seconds()))
				mutex.Unlock()
			}
		})
	}
	clients.Wait()
	return broken
}
