package fields

import (
	"fmt"
	"strings"
)

// Example is a file with every field at its default, and comments that explain it.
func Example(parts []Part) string {
	var out strings.Builder
	out.WriteString("# Settings of hollylever's own, named by LB_EXTRA or --extra. Every field is shown at its default.\n")
	for _, part := range parts {
		fmt.Fprintf(&out, "\n# %s\n[%s]\n", part.Help, part.Table)
		for n := range part.Fields {
			field := &part.Fields[n]
			bounds := field.describeBounds()
			fmt.Fprintf(&out, "\n# %s\n# %s. A change counts %s.\n%s = %s\n",
				field.Help, strings.ToUpper(bounds[:1])+bounds[1:], field.When, field.Name, field.writtenDefault())
		}
	}
	return out.String()
}

// Explain describes the field or the table of a name, or all for an empty one; empty if there is none.
func Explain(parts []Part, name string) string {
	var out strings.Builder
	for _, part := range parts {
		for n := range part.Fields {
			field := &part.Fields[n]
			full := part.Table + "." + field.Name
			if name != "" && name != full && name != part.Table {
				continue
			}
			fmt.Fprintf(&out, "%s\n  %s\n  default  %s\n  bounds   %s\n  counts   %s\n",
				full, field.Help, field.writtenDefault(), field.describeBounds(), field.When)
		}
	}
	return out.String()
}

// Names are all tables and fields, for the completion of commands.
func Names(parts []Part) (names []string) {
	for _, part := range parts {
		names = append(names, part.Table)
		for _, field := range part.fieldNames() {
			names = append(names, part.Table+"."+field)
		}
	}
	return names
}
