package cli_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/config"
	"sassafrasward/core/reason"
	"sassafrasward/io/event"
	"sassafrasward/io/setting"
)

var update = flag.Bool("update", false, "write the tables of the docs")

// tables returns the tables generated from the registries, by the name of the marker that
// encloses each in the docs.
func tables(t *testing.T) map[string][]string {
	t.Helper()
	all := map[string][]string{
		"settings": {"| section | key | value if left out | allowed | meaning |"},
		"fields":   {"| section | key | required | allowed | meaning |"},
		"defaults": {"| section | key | value |"},
		"faults":   {"| kind | meaning |"},
		"reasons":  {"| reason | outcome | HTTP status | meaning |"},
		"retries":  {"| reason | meaning |"},
		"events":   {"| event | level | text | meaning |"},
	}
	add := func(table, format string, values ...any) {
		all[table] = append(all[table], fmt.Sprintf(format, values...))
	}
	for _, k := range setting.Keys() {
		fallback := k.Default()
		if fallback == "" {
			fallback = "required"
		}
		add("settings", "| `%s` | `%s` | %s | %s | %s |", k.Section(), k.Name(), fallback, k.Allowed(), k.Doc())
	}
	for _, f := range config.Fields() {
		required := "no"
		if f.Required() {
			required = "yes"
		}
		add("fields", "| `%s` | `%s` | %s | %s | %s |", f.Section(), f.Key(), required, f.Allowed(), f.Doc())
	}
	for _, row := range defaults(t) {
		add("defaults", "| `%s` | `%s` | %v |", row...)
	}
	for _, f := range config.Codes() {
		add("faults", "| `%s` | %s |", f, f.Doc())
	}
	for _, r := range reason.Entries() {
		add("reasons", "| `%s` | `%s` | %d | %s |", r.Reason(), r.Outcome(), r.Status(), r.Doc())
	}
	for _, r := range reason.Retries() {
		add("retries", "| `%s` | %s |", r, r.Doc())
	}
	for _, e := range event.Catalogue() {
		add("events", "| %d | %d | %s | %s |", e.Number(), e.Level(), e.Message(), e.Doc())
	}
	for name, rows := range all {
		line := strings.Repeat("| --- ", strings.Count(rows[0], "|")-1) + "|"
		all[name] = append([]string{rows[0], line}, rows[1:]...)
	}
	return all
}

// defaults returns section, key and default value of the optional keys of a configuration.
func defaults(t *testing.T) [][]any {
	t.Helper()
	d, err := config.Parse([]byte("[document]\npreset = p\n[preset p]\n[workspace w]\nshare = 1\n[pool l]\nkind = engine\n[target t]\npool = l\nzone = a\naddress = 10.0.0.1:1\n[stage s]\npool = l\n[pipeline q]\nstages = s\ndeadline = 1s\n"))
	if err != nil {
		t.Fatal(err)
	}
	p, pool, target := d.ActivePreset(), d.Pools()[0], d.Targets()[0]
	return [][]any{
		{"document", "loads", d.ModelLoadsPerMinute()},
		{"preset", "admit", p.AdmissionControl()},
		{"preset", "retry", p.RetryBudget()},
		{"preset", "hedge", p.HedgeBudget()},
		{"preset", "long", p.LongSlotPercent()},
		{"preset", "queue", p.QueueLimit()},
		{"preset", "affinity", p.PrefixAffinity()},
		{"preset", "accept", p.AcceptsRequests()},
		{"workspace", "records", d.Workspaces()[0].MaxCommandRecords()},
		{"pool", "fencing", pool.Fencing()},
		{"pool", "recognise", pool.DeduplicatesKeys()},
		{"pool", "models", "none"},
		{"pool", "role", pool.Role()},
		{"target", "slots", target.Slots()},
		{"stage", "command", d.Pipelines()[0].Stages()[0].Command()},
		{"pipeline", "long", d.Pipelines()[0].Long()},
	}
}

// TestDocs guards against tables in the docs that differ from the registries in the code.
func TestDocs(t *testing.T) {
	all := tables(t)
	for page, names := range map[string][]string{
		"OPERATIONS.md": {"settings", "fields", "defaults", "faults", "reasons", "retries"},
		"events.md":     {"events"},
	} {
		path := filepath.Join("..", "..", "docs", page)
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		text := string(raw)
		for _, name := range names {
			before, rest, ok := strings.Cut(text, "<!-- table: "+name+" -->\n")
			inside, after, end := strings.Cut(rest, "<!-- end -->\n")
			if !ok || !end {
				t.Fatalf("%s: no table %s", page, name)
			}
			want := strings.Join(all[name], "\n") + "\n"
			if inside != want && !*update {
				t.Errorf("%s: table %s differs from the registry:\n%s", page, name, want)
			}
			text = before + "<!-- table: " + name + " -->\n" + want + "<!-- end -->\n" + after
		}
		if *update {
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestDefaults guards against an optional key whose default is not documented.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	listed := make(map[string]bool)
	for _, row := range defaults(t) {
		listed[fmt.Sprint(row[0], " ", row[1])] = true
	}
	for _, f := range config.Fields() {
		is.Equal(listed[f.Section()+" "+f.Key()], !f.Required())
	}
}

// TestGlossary guards against terms of files and reports that are missing from the glossary.
func TestGlossary(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(filepath.Join("..", "..", "docs", "glossary.md"))
	is.NoErr(err)
	terms := []string{"host", "availability zone", "workspace", "target", "engine", "order", "fencing token", "suspect", "controller"}
	for _, f := range config.Fields() {
		if f.Section() != "document" { // the glossary explains it under configuration
			terms = append(terms, f.Section())
		}
	}
	for _, term := range terms {
		is.True(strings.Contains(string(raw), "\n| "+term+" | ")) // a row with a one-line meaning
	}
}

// TestReadme guards against example files in the README that do not parse.
func TestReadme(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(filepath.Join("..", "..", "README.md"))
	is.NoErr(err)
	_, err = setting.Parse(example(string(raw), "(`host.ini`):"))
	is.NoErr(err)
	_, err = config.Parse(example(string(raw), "(`published.ini`):"))
	is.NoErr(err)
}

// example returns the indented block that follows the line ending in mark.
func example(text, mark string) []byte {
	_, rest, _ := strings.Cut(text, mark+"\n\n")
	block, _, _ := strings.Cut(rest, "\n\n")
	return []byte(strings.ReplaceAll(block, "    ", ""))
}
