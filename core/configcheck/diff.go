package configcheck

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"sassafrasward/core/route"
)

// Change is one difference between two configurations.
type Change struct {
	// place is the entry that differs.
	place  string
	action Action
	// detail has the fields that changed, with the old and the new value; empty for other actions.
	detail string
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Action -linecomment

// Action is how an entry differs.
type Action int

// The actions.
const (
	Added   Action = iota // added
	Removed               // removed
	Changed               // changed
)

// Place returns the entry that differs.
func (c Change) Place() string { return c.place }

// Action returns how the entry differs.
func (c Change) Action() Action { return c.action }

// Detail returns the fields that changed, with the old and the new value; empty for entries that were added or
// removed.
func (c Change) Detail() string { return c.detail }

// String returns the change on one line.
func (c Change) String() string {
	if c.detail == "" {
		return fmt.Sprintf("%s: %s", c.place, c.action)
	}
	return fmt.Sprintf("%s: %s: %s", c.place, c.action, c.detail)
}

// MarshalJSON implements json.Marshaler.
func (c Change) MarshalJSON() (raw []byte, err error) {
	return json.Marshal(map[string]string{"place": c.place, "action": c.action.String(), "detail": c.detail})
}

// CheckVersion returns a finding if a configuration would not replace the one in force.
func CheckVersion(inForce, next *route.Table) (findings []Finding) {
	if next.Version() <= inForce.Version() {
		return []Finding{NewError("version", "%d does not replace version %d, which is in force: hosts ignore it", next.Version(), inForce.Version())}
	}
	return nil
}

// Diff returns what a configuration changes of the one in force. Of the keys of workspaces it tells only how
// many are added and removed.
func Diff(inForce, next *route.Table) (changes []Change) {
	changes = diffEntries(changes, "route", inForce.Routes(), next.Routes(), func(r route.Route) string { return r.Name })
	changes = diffEntries(changes, "pool", pools(inForce), pools(next), func(p route.Pool) string { return p.Name })
	changes = diffWorkspaces(changes, inForce.Workspaces(), next.Workspaces())
	if detail := diffFields(inForce.Limits(), next.Limits()); detail != "" {
		changes = append(changes, Change{place: "limits", action: Changed, detail: detail})
	}
	return changes
}

// pools returns the pools of a configuration in the order of their names.
func pools(t *route.Table) (list []route.Pool) {
	for _, name := range t.Pools() {
		p, _ := t.Pool(name)
		list = append(list, p)
	}
	return list
}

// diffEntries adds the differences of two lists of named entries. Of several entries with a name, the last
// one counts.
func diffEntries[E any](changes []Change, kind string, before, after []E, name func(E) string) []Change {
	old := make(map[string]E, len(before))
	for _, e := range before {
		old[name(e)] = e
	}
	kept := make(map[string]bool, len(after))
	for _, e := range after {
		place := fmt.Sprintf("%s %q", kind, name(e))
		previous, known := old[name(e)]
		kept[name(e)] = true
		if !known {
			changes = append(changes, Change{place: place, action: Added})
		} else if detail := diffFields(previous, e); detail != "" {
			changes = append(changes, Change{place: place, action: Changed, detail: detail})
		}
	}
	for _, e := range before {
		if !kept[name(e)] {
			changes = append(changes, Change{place: fmt.Sprintf("%s %q", kind, name(e)), action: Removed})
		}
	}
	return changes
}

// diffWorkspaces adds the differences of workspaces.
func diffWorkspaces(changes []Change, before, after []route.Workspace) []Change {
	type shown struct {
		Name, Priority string
		Keys           keyList
	}
	show := func(list []route.Workspace) (entries []shown) {
		for _, w := range list {
			e := shown{Name: w.Name, Keys: w.Keys}
			if w.HasPriority {
				e.Priority = fmt.Sprint(w.Priority)
			}
			entries = append(entries, e)
		}
		return entries
	}
	return diffEntries(changes, "workspace", show(before), show(after), func(s shown) string { return s.Name })
}

// keyList has API keys, which must not be printed.
type keyList []string

// diffFields returns the fields of two structs that differ; empty if none does.
func diffFields(before, after any) (detail string) {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		old, changed := a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(old, changed) {
			continue
		}
		if detail != "" {
			detail += ", "
		}
		if keys, ok := old.(keyList); ok {
			added, removed := countChanges(keys, changed.(keyList))
			detail += fmt.Sprintf("keys: %d added, %d removed", added, removed)
			continue
		}
		detail += fmt.Sprintf("%s: %s -> %s", a.Type().Field(i).Name, format(old), format(changed))
	}
	return detail
}

// format returns a value as text, with the fields of structs behind pointers by name.
func format(value any) string {
	if v := reflect.ValueOf(value); v.Kind() == reflect.Pointer && !v.IsNil() {
		value = v.Elem().Interface()
	}
	return fmt.Sprintf("%+v", value)
}

// countChanges returns how many keys were added and removed.
func countChanges(before, after keyList) (added, removed int) {
	for _, k := range after {
		if !slices.Contains(before, k) {
			added++
		}
	}
	for _, k := range before {
		if !slices.Contains(after, k) {
			removed++
		}
	}
	return added, removed
}
