package view

import (
	"sync/atomic"
	"time"

	"sassafrasward/core/config"
	"sassafrasward/core/hostselect"
	"sassafrasward/core/reason"
)

// View is an immutable snapshot of the control state.
type View struct {
	document *config.Document
	version  config.Version
	// hosts are the entry hosts that callers may use.
	hosts []hostselect.Candidate
	// refusal is None if the host accepts requests, and otherwise the reason for refusing them.
	refusal reason.Reason
	// stop is when a draining host cuts off the requests in progress; zero if the host is not draining.
	stop time.Time
}

// Option configures a View.
type Option func(*View)

// WithStop sets when a draining host cuts off the requests in progress.
func WithStop(t time.Time) Option { return func(v *View) { v.stop = t } }

// New returns a View. The document may be nil while the host is joining.
func New(d *config.Document, v config.Version, hosts []hostselect.Candidate, refusal reason.Reason, options ...Option) *View {
	view := &View{document: d, version: v, hosts: hosts, refusal: refusal}
	for _, o := range options {
		o(view)
	}
	return view
}

// Document returns the configuration in force. It may be nil while the host is joining.
func (v *View) Document() *config.Document { return v.document }

// Version returns the version of the configuration in force.
func (v *View) Version() config.Version { return v.version }

// Hosts returns the entry hosts that callers may use, including this host if it accepts requests.
func (v *View) Hosts() []hostselect.Candidate { return v.hosts }

// Refusal returns None if the host accepts requests, and otherwise the reason for refusing them.
func (v *View) Refusal() reason.Reason { return v.refusal }

// Outlasts reports whether the host runs until a request with the timeout that begins now has ended.
func (v *View) Outlasts(timeout time.Duration) bool {
	return v.stop.IsZero() || time.Until(v.stop) >= timeout+stopMargin
}

// stopMargin is the time in which the answer to a request that has reached its deadline is written.
const stopMargin = 100 * time.Millisecond

// Holder holds the newest View. It is safe for concurrent use.
type Holder struct {
	pointer atomic.Pointer[View]
}

// NewHolder returns a Holder with a View that refuses all requests with reason.Joining.
func NewHolder() *Holder {
	h := &Holder{}
	h.Publish(New(nil, config.Version{}, nil, reason.Joining))
	return h
}

// Publish replaces the View.
func (h *Holder) Publish(v *View) { h.pointer.Store(v) }

// Load returns the newest View.
func (h *Holder) Load() *View { return h.pointer.Load() }
