package fields

import (
	"fmt"
	"strings"
)

// Example is a file with every field at its default.
func Example(parts []Part) string {
	var out strings.Builder
	out.WriteString("# Settings of hollylever's own, named by LB_EXTRA or --extra. Every field is shown at its default.\n")
	for _, p := range parts {
		fmt.Fprintf(&out, "\n# %s\n[%s]\n", p.Help, p.Table)
		for n := range p.Fields {
			f := &p.Fields[n]
			fmt.Fprintf(&out, "\n# %s\n# %s. A change counts %s.\n%s = %s\n", f.Help, strings.ToUpper(f.bounds()[:1])+f.bounds()[1:], f.When, f.Name, f.written())
		}
	}
	return out.String()
}

// Explain tells of the fields whose name, or whose table, is given; all if none is.
func Explain(parts []Part, name string) (found string) {
	var out strings.Builder
	for _, p := range parts {
		for n := range p.Fields {
			f := &p.Fields[n]
			if full := p.Table + "." + f.Name; name == "" || name == full || name == p.Table {
				fmt.Fprintf(&out, "%s\n  %s\n  default  %s\n  bounds   %s\n  counts   %s\n", full, f.Help, f.written(), f.bounds(), f.When)
			}
		}
	}
	return out.String()
}

// Names are all tables and fields.
func Names(parts []Part) (names []string) {
	for _, p := range parts {
		names = append(names, p.Table)
		for _, f := range p.Fields {
			names = append(names, p.Table+"."+f.Name)
		}
	}
	return names
}
