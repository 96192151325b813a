package protocol

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// A word of the wire is spelled a second time behind this package, and a later change of the one misses the other. The
// packages that serve requests have to use the types of words.go. (Stand-ins of servers and of discovery, under fakes
// and cmd, speak the wire from its other side and spell it themselves.)
func TestWireWordsAreSpelledInOneTable(t *testing.T) {
	words := map[string]bool{}
	for _, word := range []string{wordGet, wordSet, wordPing, wordPong, wordBusy, wordFailed, wordGivenUp, wordReady, wordDraining, wordGone} {
		words[word] = true
	}
	for _, dir := range []string{"admin", "fleet", "policy", "routing", "server", "transport"} {
		files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("no files in %s: %v", dir, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			set := token.NewFileSet()
			parsed, err := parser.ParseFile(set, file, nil, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(parsed, func(node ast.Node) bool {
				literal, is := node.(*ast.BasicLit)
				if !is || literal.Kind != token.STRING {
					return true
				}
				if text, err := strconv.Unquote(literal.Value); err == nil && words[text] {
					t.Errorf("%s: %s is a word of the wire", set.Position(literal.Pos()), literal.Value)
				}
				return true
			})
		}
	}
}

// A verb is read in any case, and each type's words are read back as what they were written for.
func TestWordsAndTypesMatch(t *testing.T) {
	for word, want := range map[string]Verb{"C.GET": VerbGet, "c.get": VerbGet, "C.SET": VerbSet, "c.Set": VerbSet, "ping": VerbPing, "PING": VerbPing, "": VerbUnknown, "C.GETS": VerbUnknown, "HELLO": VerbUnknown} {
		if verb := ParseVerb([][]byte{[]byte(word)}); verb != want {
			t.Errorf("%q is verb %d, want %d", word, verb, want)
		}
	}
	for status, word := range map[EndpointStatus]string{EndpointReady: "Ready", EndpointDraining: "Terminating", EndpointGone: "Gone"} {
		if status.String() != word || parseEndpointStatus(word) != status {
			t.Errorf("%q and status %d do not match", word, status)
		}
	}
	for _, word := range []string{"", "ready", "Up"} {
		if status := parseEndpointStatus(word); status != 0 {
			t.Errorf("%q is status %v", word, status)
		}
	}
}
