package integration_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

// orderRecords returns the orders that a target stand-in received.
func orderRecords(t *testing.T, address string) (records []standin.OrderRecord) {
	t.Helper()
	response, err := http.Get("http://" + address + standin.PathOrders)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&records); err != nil {
		t.Fatal(err)
	}
	return records
}

// waitOrder waits for a record at or after an index that has the fencing token and was
// accepted or refused as given. It returns the index after it.
func waitOrder(t *testing.T, address string, from int, fence uint64, accepted bool) int {
	t.Helper()
	for {
		for i, o := range orderRecords(t, address) {
			if i >= from && o.Order.Fence == fence && o.Accepted == accepted {
				return i + 1
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestLateOrder guards against an engine that stays with an order of an old version. A host is
// paused while it sends an order, which arrives after the order of a newer version. An engine
// that checks fencing tokens refuses the old order; one that does not accepts it, and the
// other host corrects it.
func TestLateOrder(t *testing.T) {
	for name, fencing := range map[string]bool{"checks tokens": true, "ignores tokens": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			arguments := []string{"--load", "1ms", "--loads", "60000"}
			if fencing {
				arguments = append(arguments, "--fencing")
			}
			engine, platform := startTarget(t, arguments...), startPlatform(t)
			p := newProxy(t, engine)
			publish := func(model string) {
				put(t, platform, standin.PathPublish, fmt.Appendf(nil,
					"[document]\npreset = ordinary\nloads = 6000\n[preset ordinary]\n[pool engines]\nkind = engine\nfencing = %t\nmodels = %s\n%s",
					fencing, model, targetSection("e1", "engines", p.address())))
			}
			a, b := startHost(t, "a", "a", platform), startHost(t, "b", "b", platform)
			putJSON(t, platform, standin.PathSetHosts, []wire.HostEntry{hostEntry(a, "a"), hostEntry(b, "b")})
			publish("m1")
			waitOrder(t, engine, 0, 1, true)
			a.waitLine(`"event":1002`)
			b.waitLine(`"event":1002`)

			// Host a is paused while its order of version 2 is in flight.
			b.signal(syscall.SIGSTOP)
			blocked := faults{blockUp: true, match: "POST " + wire.PathOrder}
			p.set(blocked)
			publish("m2")
			p.waitBlocked()
			a.signal(syscall.SIGSTOP)
			blocked.onlyExisting = true
			p.set(blocked)

			// Host b sends the order of version 3; then the order of host a arrives.
			publish("m3")
			b.signal(syscall.SIGCONT)
			newer := waitOrder(t, engine, 0, 3, true)
			p.set(faults{})
			late := waitOrder(t, engine, newer, 2, !fencing)
			if !fencing {
				waitOrder(t, engine, late, 3, true)
			}
			a.signal(syscall.SIGCONT)
			a.waitLine(`"event":1101,"version":"3-`)
			is.Equal(waitLastAccepted(t, engine).Models, []string{"m3"})
		})
	}
}

// waitLastAccepted waits until the last accepted order is that of version 3, and returns it.
func waitLastAccepted(t *testing.T, address string) (last wire.Order) {
	t.Helper()
	for last.Fence != 3 {
		for _, o := range orderRecords(t, address) {
			if o.Accepted {
				last = o.Order
			}
		}
	}
	return last
}
