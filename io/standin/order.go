package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"sassafrasward/io/wire"
)

// PathOrders returns the ledger of orders of a target.
const PathOrders = "/admin/orders"

// Ordered is one order in a target's ledger.
type OrderRecord struct {
	Order wire.Order `json:"order"`
	// Taken is false if the order was refused for its fencing token.
	Accepted bool `json:"taken"`
}

// engine is the part of a target that takes orders. Its fields are guarded by the mutex of
// the target.
type engine struct {
	// store and load say what a model load waits for and takes.
	store *WeightStore
	load  time.Duration
	order wire.Order
	// held are the loaded models; at most those of the order.
	held   []string
	orders []OrderRecord
	// cancel ends the loads of the order before.
	cancel context.CancelFunc
}

// WithStore sets the weight store and the time of one model load.
func WithWeightStore(store *WeightStore, load time.Duration) TargetOption {
	return func(t *Target) { t.engine.store, t.engine.load = store, load }
}

// Orders returns all orders so far.
func (t *Target) Orders() []OrderRecord {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.engine.orders)
}

func (t *Target) take(w http.ResponseWriter, r *http.Request) {
	var order wire.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	taken := !t.fencing || order.Fence >= t.engine.order.Fence
	t.engine.orders = append(t.engine.orders, OrderRecord{Order: order, Accepted: taken})
	if !taken {
		writeJSON(w, http.StatusConflict, t.engine.order)
		return
	}
	t.obey(order)
	writeJSON(w, http.StatusOK, order)
}

// obey drops models that the order does not name and begins to load the missing ones.
func (t *Target) obey(order wire.Order) {
	if t.engine.cancel != nil {
		t.engine.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.engine.order, t.engine.cancel = order, cancel
	t.engine.held = slices.DeleteFunc(t.engine.held, func(m string) bool { return !slices.Contains(order.Models, m) })
	var missing []string
	for _, m := range order.Models {
		if !slices.Contains(t.engine.held, m) {
			missing = append(missing, m)
		}
	}
	if t.engine.store == nil && t.engine.load == 0 {
		t.engine.held = append(t.engine.held, missing...)
		return
	}
	go t.fetch(ctx, missing)
}

// fetch loads models one after the other.
func (t *Target) fetch(ctx context.Context, models []string) {
	for _, m := range models {
		if t.engine.store != nil && !t.engine.store.WaitTurn(ctx) {
			return
		}
		if !sleep(ctx, t.engine.load) {
			return
		}
		t.mutex.Lock()
		if ctx.Err() == nil {
			t.engine.held = append(t.engine.held, m)
		}
		t.mutex.Unlock()
	}
}
