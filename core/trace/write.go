package trace

import (
	"bytes"
	"fmt"
)

// Bytes returns the trace as text. Parsing the text yields an equal trace.
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
		m := t.serviceModels[p.Name()]
		line("rate %s %d %g %g %g %d %d", m.pool, milliseconds(m.baseTime), m.prefillRate, m.decodeRate, m.batchSlowdownPercent, m.prefixCacheSize, milliseconds(m.loadReportLag))
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
	for _, o := range t.objectives {
		line("expect %s", o)
	}
	for _, q := range t.requests {
		line("request %s", q)
	}
	return b.Bytes()
}

// String returns the fields of the objective as in a trace file.
func (o Objective) String() string {
	comparison := atLeast
	if o.isUpper {
		comparison = atMost
	}
	return fmt.Sprintf("%s %s %s %g", o.measure, orAbsent(o.subject), comparison, o.bound)
}

// String returns the fields of the request as in a trace file.
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
