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
	for _, c := range t.documentLines {
		line("config %s", c)
	}
	line("network %d %d", milliseconds(t.network.zoneDelay), milliseconds(t.network.clientDelay))
	for _, p := range t.document.Pools() {
		r := t.serviceModels[p.Name()]
		line("rate %s %d %g %g %g %d %d", r.pool, milliseconds(r.baseTime), r.prefillRate, r.decodeRate, r.batchSlowdownPercent, r.prefixCacheSize, milliseconds(r.loadReportLag))
	}
	for _, s := range t.slowPeriods {
		line("slow %s %g %d %d", s.target, s.factor, milliseconds(s.from), milliseconds(s.to))
	}
	for _, c := range t.crashes {
		line("crash %s %d %d", c.target, milliseconds(c.from), milliseconds(c.to))
	}
	for _, s := range t.presetSwitches {
		line("switch %d %s", milliseconds(s.at), s.preset)
	}
	if t.peak != (Window{}) {
		line("peak %d %d", milliseconds(t.peak.from), milliseconds(t.peak.to))
	}
	for _, e := range t.objectives {
		line("expect %s", e)
	}
	for _, q := range t.requests {
		line("request %s", q)
	}
	return b.Bytes()
}

// String returns the fields of the outcome as in a trace.
func (e Objective) String() string {
	comparison := atLeast
	if e.isUpper {
		comparison = atMost
	}
	return fmt.Sprintf("%s %s %s %g", e.measure, orAbsent(e.subject), comparison, e.bound)
}

// String returns the fields of the request as in a trace.
func (q Request) String() string {
	consequence := wordIdempotent
	if q.command {
		consequence = wordCommand
	}
	return fmt.Sprintf("%d %s %s %d %d %d %s %s", milliseconds(q.sendTime), q.workspace, q.pipeline, q.outputTokens, q.promptTokens, milliseconds(q.deadline), orAbsent(q.prefix), consequence)
}

func orAbsent(word string) string {
	if word == "" {
		return absent
	}
	return word
}
