package trace

import (
	"bytes"
	"fmt"
)

// Bytes returns the text of the trace. Parse of the text gives an equal trace.
func (t *Trace) Bytes() []byte {
	var b bytes.Buffer
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(&b, format+"\n", values...) }
	if t.name != "" {
		line("trace %s", t.name)
	}
	for _, c := range t.config {
		line("config %s", c)
	}
	line("network %d %d", milliseconds(t.network.between), milliseconds(t.network.client))
	for _, p := range t.document.Pools() {
		r := t.rates[p.Name()]
		line("rate %s %d %g %g %g %d %d", r.pool, milliseconds(r.base), r.prefill, r.decode, r.batch, r.cache, milliseconds(r.lag))
	}
	for _, s := range t.slows {
		line("slow %s %g %d %d", s.target, s.factor, milliseconds(s.from), milliseconds(s.to))
	}
	for _, c := range t.crashes {
		line("crash %s %d %d", c.target, milliseconds(c.from), milliseconds(c.to))
	}
	for _, s := range t.switches {
		line("switch %d %s", milliseconds(s.at), s.preset)
	}
	if t.peak != (Window{}) {
		line("peak %d %d", milliseconds(t.peak.from), milliseconds(t.peak.to))
	}
	for _, e := range t.expects {
		line("expect %s", e)
	}
	for _, q := range t.requests {
		line("request %s", q)
	}
	return b.Bytes()
}

// String returns the fields of the outcome as in a trace.
func (e Objective) String() string {
	comparison := least
	if e.most {
		comparison = most
	}
	return fmt.Sprintf("%s %s %s %g", e.measure, dash(e.subject), comparison, e.bound)
}

// String returns the fields of the request as in a trace.
func (q Request) String() string {
	consequence := wordIdempotent
	if q.command {
		consequence = wordCommand
	}
	return fmt.Sprintf("%d %s %s %d %d %d %s %s", milliseconds(q.at), q.workspace, q.pipeline, q.size, q.prompt, milliseconds(q.deadline), dash(q.prefix), consequence)
}

func dash(word string) string {
	if word == "" {
		return absent
	}
	return word
}
