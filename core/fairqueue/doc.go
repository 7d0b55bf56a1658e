// Package share queues items of flows by weighted fair queueing.
//
// It is start-time fair queueing: each flow has a virtual start tag that grows by
// cost/weight with each item that leaves, and the flow with the least tag is served
// next. It is work-conserving: a flow may use all that others leave. A flow that comes
// back after a pause gets no credit for the pause. Within a flow, the item with the least
// order (its deadline) leaves first.
package fairqueue
