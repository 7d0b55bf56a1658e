package view

import (
	"sync/atomic"

	"sassafrasward/core/config"
	"sassafrasward/core/hostselect"
	"sassafrasward/core/reason"
)

// View is a snapshot of control state. It does not change after New.
type View struct {
	document *config.Document
	version  config.Version
	// hosts may be told to callers.
	hosts []hostselect.Candidate
	// refusal is None if the host serves, otherwise the reason why it does not.
	refusal reason.Reason
}

// New returns a snapshot. The document may be nil while the host joins.
func New(d *config.Document, v config.Version, hosts []hostselect.Candidate, refusal reason.Reason) *View {
	return &View{document: d, version: v, hosts: hosts, refusal: refusal}
}

// Document returns the configuration in force; nil while the host joins.
func (v *View) Document() *config.Document { return v.document }

// Version returns the version of the configuration in force.
func (v *View) Version() config.Version { return v.version }

// Hosts returns the entry hosts that callers may use, this host included if it serves.
func (v *View) Hosts() []hostselect.Candidate { return v.hosts }

// Refusal returns None if the host serves, otherwise why it does not.
func (v *View) Refusal() reason.Reason { return v.refusal }

// Holder publishes views.
type Holder struct {
	pointer atomic.Pointer[View]
}

// NewHolder returns a holder of a view that refuses all requests as joining.
func NewHolder() *Holder {
	h := &Holder{}
	h.Publish(New(nil, config.Version{}, nil, reason.Joining))
	return h
}

// Publish replaces the view.
func (h *Holder) Publish(v *View) { h.pointer.Store(v) }

// Load returns the newest view.
func (h *Holder) Load() *View { return h.pointer.Load() }
