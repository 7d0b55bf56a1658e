package report

import (
	"io"

	"sassafrasward/core/replay"
	"sassafrasward/core/trace"
)

// Format writes the trace format, the scenarios and the policies from their registries, as
// Markdown.
func WriteTraceFormat(out io.Writer) (err error) {
	defer func() { err = Error.Wrap(err) }()
	p := &printer{out: out}
	for _, k := range trace.LineKinds() {
		p.line("### %s\n\nOne line: %s.\n\n| field | allowed |\n| --- | --- |", k.Keyword(), k.Doc())
		for _, f := range k.Fields() {
			p.line("| %s | %s |", f.Name(), f.Allowed())
		}
		p.line("")
	}
	p.line("### Measures\n\n| measure | meaning |\n| --- | --- |")
	for _, m := range trace.Measures() {
		p.line("| %s | %s |", m, m.Doc())
	}
	p.line("\n### Scenarios\n\n| name | what |\n| --- | --- |")
	for _, s := range trace.Scenarios() {
		p.line("| %s | %s |", s.Name(), s.Doc())
	}
	p.line("\n### Policies\n\n| name | what |\n| --- | --- |")
	for _, v := range replay.Variants() {
		p.line("| %s | %s |", v.Name(), v.Doc())
	}
	return p.err
}
