package view

import (
	"sync/atomic"

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
}

// New returns a View. The document may be nil while the host is joining.
func New(d *config.Document, v config.Version, hosts []hostselect.Candidate, refusal reason.Reason) *View {
	return &View{document: d, version: v, hosts: hosts, refusal: refusal}
}

// Document returns the configuration in force. It may be nil while the host is joining.
func (v *View) Document() *config.Document { return v.document }

// Version returns the version of the configuration in force.
func (v *View) Version() config.Version { return v.version }

// Hosts returns the entry hosts that callers may use, including this host if it accepts requests.
func (v *View) Hosts() []hostselect.Candidate { return v.hosts }

// Refusal returns None if the host accepts requests, and otherwise the reason for refusing them.
func (v *View) Refusal() reason.Reason { return v.refusal }

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
