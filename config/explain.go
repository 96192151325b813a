package config

import (
	"fmt"
	"strings"
)

// Example returns a settings file with every field at its default and comments that describe it.
func Example(sections []Section) string {
	var out strings.Builder
	out.WriteString("# Settings of hollylever's own, named by LB_EXTRA or --extra. Every field is shown at its default.\n")
	for _, section := range sections {
		fmt.Fprintf(&out, "\n# %s\n[%s]\n", section.Help, section.Table)
		for n := range section.Fields {
			field := &section.Fields[n]
			bounds := field.describeBounds()
			fmt.Fprintf(&out, "\n# %s\n# %s. A change counts %s.\n%s = %s\n",
				field.Help, strings.ToUpper(bounds[:1])+bounds[1:], field.TakesEffect, field.Name, field.defaultLiteral())
		}
	}
	return out.String()
}

// Explain describes the field or the table with the given name, or all fields if the name is empty. It returns an empty
// string for an unknown name.
func Explain(sections []Section, name string) string {
	var out strings.Builder
	for _, section := range sections {
		for n := range section.Fields {
			field := &section.Fields[n]
			fullName := section.Table + "." + field.Name
			if name != "" && name != fullName && name != section.Table {
				continue
			}
			fmt.Fprintf(&out, "%s\n  %s\n  default  %s\n  bounds   %s\n  counts   %s\n",
				fullName, field.Help, field.defaultLiteral(), field.describeBounds(), field.TakesEffect)
		}
	}
	return out.String()
}

// Names returns the names of all tables and fields, for command-line completion and error messages.
func Names(sections []Section) (names []string) {
	for _, section := range sections {
		names = append(names, section.Table)
		for _, field := range section.fieldNames() {
			names = append(names, section.Table+"."+field)
		}
	}
	return names
}
