package operator

import (
	"encoding/json"
	"fmt"
	"sort"
)

type (
	// Change is a field that differs between two bundles. An empty Old or New means that the field
	// is absent from that bundle.
	Change struct {
		Field string `json:"field"`
		Old   string `json:"old,omitempty"`
		New   string `json:"new,omitempty"`
	}
)

// Diff returns the fields that differ between two bundles, sorted by path. List items that have a
// name are matched by it, so that an inserted item does not make all following ones appear as
// changed.
func Diff(from, to *Bundle) []Change {
	before := flatten(from)
	after := flatten(to)
	var changes []Change
	for field, value := range before {
		if after[field] != value {
			changes = append(changes, Change{Field: field, Old: value, New: after[field]})
		}
	}
	for field, value := range after {
		if _, ok := before[field]; !ok {
			changes = append(changes, Change{Field: field, New: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes
}

func flatten(b *Bundle) map[string]string {
	fields := make(map[string]string)
	if b == nil {
		return fields
	}
	var tree any
	if err := json.Unmarshal(b.Encode(), &tree); err != nil {
		panic("operator: cannot decode canonical bundle: " + err.Error())
	}
	flattenInto(fields, "", tree)
	return fields
}

func flattenInto(fields map[string]string, path string, node any) {
	switch value := node.(type) {
	case map[string]any:
		for name, child := range value {
			flattenInto(fields, joinPath(path, name), child)
		}
	case []any:
		for i, child := range value {
			flattenInto(fields, path+"["+itemKey(i, child)+"]", child)
		}
	default:
		fields[path] = fmt.Sprint(value)
	}
}

func itemKey(i int, item any) string {
	if object, ok := item.(map[string]any); ok {
		if name, ok := object["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
