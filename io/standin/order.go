package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"sassafrasward/io/wire"
)

// PathOrders is the path that returns the orders a target received.
const PathOrders = "/admin/orders"

// OrderRecord is one order that a target received.
type OrderRecord struct {
	Order wire.Order `json:"order"`
	// Accepted is false if the order was refused because its fencing token is old.
	Accepted bool `json:"taken"`
}

// engine is the state of a target that orders change. The mutex of the target guards its
// fields.
type engine struct {
	// store limits the rate of model loads if it is not nil; loadTime is the time that each
	// load takes after that.
	store    *WeightStore
	loadTime time.Duration
	order    wire.Order
	// loaded has the loaded models, a subset of the models of the order.
	loaded []string
	orders []OrderRecord
	// cancel ends the loads of the current order.
	cancel context.CancelFunc
}

// WithWeightStore sets the weight store and the time of one model load.
func WithWeightStore(store *WeightStore, load time.Duration) TargetOption {
	return func(t *Target) { t.engine.store, t.engine.loadTime = store, load }
}

// Orders returns all orders received so far, including refused ones.
func (t *Target) Orders() []OrderRecord {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.engine.orders)
}

func (t *Target) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order wire.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	accepted := !t.fencing || order.Fence >= t.engine.order.Fence
	t.engine.orders = append(t.engine.orders, OrderRecord{Order: order, Accepted: accepted})
	if !accepted {
		writeJSON(w, http.StatusConflict, t.engine.order)
		return
	}
	t.applyOrder(order)
	writeJSON(w, http.StatusOK, order)
}

// applyOrder unloads the models that the order does not name and begins to load the missing
// ones. The caller holds the mutex.
func (t *Target) applyOrder(order wire.Order) {
	if t.engine.cancel != nil {
		t.engine.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.engine.order, t.engine.cancel = order, cancel
	t.engine.loaded = slices.DeleteFunc(t.engine.loaded, func(m string) bool { return !slices.Contains(order.Models, m) })
	var missing []string
	for _, m := range order.Models {
		if !slices.Contains(t.engine.loaded, m) {
			missing = append(missing, m)
		}
	}
	if t.engine.store == nil && t.engine.loadTime == 0 {
		t.engine.loaded = append(t.engine.loaded, missing...)
		return
	}
	go t.loadModels(ctx, missing)
}

// loadModels loads the models one after the other until the context ends.
func (t *Target) loadModels(ctx context.Context, models []string) {
	for _, m := range models {
		if t.engine.store != nil && !t.engine.store.WaitTurn(ctx) {
			return
		}
		if !sleep(ctx, t.engine.loadTime) {
			return
		}
		t.mutex.Lock()
		if ctx.Err() == nil {
			t.engine.loaded = append(t.engine.loaded, m)
		}
		t.mutex.Unlock()
	}
}
