// Package fairqueue implements weighted fair queueing of items that belong to flows.
//
// The algorithm is start-time fair queueing: each flow has a virtual start tag that grows by
// cost/weight with each dequeued item, and the flow with the least tag is served next. The
// queue is work-conserving: a flow may use all capacity that other flows leave. A flow that
// becomes active again gets no credit for the time it was idle. Within a flow, the item with
// the least order (its deadline) is dequeued first.
package fairqueue
