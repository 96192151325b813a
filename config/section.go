// Package config reads hollylever's own settings, one TOML file. Each package declares the table of its settings beside
// the code that uses it, and the server puts the tables together. Defaults, the example file and the explanations for
// people are made from the same declarations. The platform's own configuration file is not this package's business.
//
// Read gives either all values or all errors, each with its place in the file; it changes nothing by itself.
package config

import (
	"strconv"
	"strings"
	"time"
)

// Kind is what a field holds.
type Kind int

// The kinds. Durations and sizes are written with their unit.
const (
	Option   Kind = iota // one of a list of words
	Integer              // a whole number
	Duration             // as time.ParseDuration reads it
	Size                 // bytes
	Boolean              // true or false
	Text                 // any plain text of one line
)

// TakesEffect is when a change of a field takes effect.
type TakesEffect int

// A change takes effect when the file is read again on SIGHUP, or at the next start.
const (
	OnReload TakesEffect = iota
	OnRestart
)

// String is how explanations put it.
func (w TakesEffect) String() string { return [...]string{"at once", "at the next start"}[w] }

// Field is one setting. Default, Min and Max are written as in the file.
type Field struct {
	Name        string
	Kind        Kind
	Default     string
	Min         string   // inclusive; of Integer, Duration and Size
	Max         string   // inclusive; of the same
	MaxBytes    int      // of Text, in bytes; 0: defaultMaxTextBytes
	Options     []string // of Option: those allowed
	TakesEffect TakesEffect
	Help        string // one sentence for people
}

// Section is what one package declares: a table of the file.
type Section struct {
	Table  string
	Help   string
	Fields []Field
}

// field gives the table's field of a name, nil if there is none.
func (p *Section) field(name string) *Field {
	for n := range p.Fields {
		if p.Fields[n].Name == name {
			return &p.Fields[n]
		}
	}
	return nil
}

// fieldNames are the names of its fields, in their order.
func (p *Section) fieldNames() (names []string) {
	for n := range p.Fields {
		names = append(names, p.Fields[n].Name)
	}
	return names
}

// Values are the settings in force, by table and field ("log.level"): the file's, or the defaults.
type Values struct {
	texts   map[string]string // of Option and Text
	numbers map[string]int64  // of Integer, of Duration in nanoseconds, of Size in bytes, of Boolean 1 or 0
}

// value is one field's value, in the form of its kind.
type value struct {
	text   string
	number int64
}

func (v Values) set(name string, to value) {
	v.texts[name], v.numbers[name] = to.text, to.number
}

func (v Values) get(name string) value { return value{v.texts[name], v.numbers[name]} }

// Text gives the value of an Option or Text field.
func (v Values) Text(name string) string { return v.texts[name] }

// Integer gives the value of an Integer field, or of a Size field in bytes.
func (v Values) Integer(name string) int64 { return v.numbers[name] }

// Duration gives the value of a Duration field.
func (v Values) Duration(name string) time.Duration { return time.Duration(v.numbers[name]) }

// Boolean gives the value of a Boolean field.
func (v Values) Boolean(name string) bool { return v.numbers[name] == 1 }

// ChangedFields names the fields whose values differ and that take effect then, in the order of the tables.
func ChangedFields(sections []Section, a, b Values, when TakesEffect) (names []string) {
	for _, section := range sections {
		for _, field := range section.Fields {
			name := section.Table + "." + field.Name
			if field.TakesEffect == when && a.get(name) != b.get(name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// Defaults gives the defaults: what is in force without a file.
func Defaults(sections []Section) Values {
	v := Values{map[string]string{}, map[string]int64{}}
	for _, section := range sections {
		for n := range section.Fields {
			field := &section.Fields[n]
			name := section.Table + "." + field.Name
			standard, err := field.parse(field.tomlDefault())
			if err != nil {
				panic(name + ": " + err.Error()) // A defect of the declaration, which tests find.
			}
			v.set(name, standard)
		}
	}
	return v
}

// tomlDefault is the default as the TOML library would give it.
func (f *Field) tomlDefault() any {
	switch f.Kind {
	case Boolean:
		return f.Default == "true"
	case Integer:
		return f.parseBound(f.Default)
	}
	return f.Default
}

// writtenDefault is the default as the file has it.
func (f *Field) writtenDefault() string {
	if f.Kind == Boolean || f.Kind == Integer {
		return f.Default
	}
	return strconv.Quote(f.Default)
}

// describeBounds tells people what a field may hold.
func (f *Field) describeBounds() string {
	switch f.Kind {
	case Option:
		return "one of " + strings.Join(f.Options, ", ")
	case Boolean:
		return "either true or false"
	case Text:
		return "a text of at most " + strconv.Itoa(f.maxTextBytes()) + " bytes"
	}
	return f.Min + " to " + f.Max
}
