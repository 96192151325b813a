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

// Guards against spelling a word of the wire again outside this package, where a later change of words.go would miss
// it. The packages that serve requests must use the types of words.go. Simulated servers and discovery, under fakes and
// cmd, are not checked: they implement the other side of the protocol and spell its words themselves.
func TestWireWordsAreSpelledOnlyInWords(t *testing.T) {
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
			fileSet := token.NewFileSet()
			parsed, err := parser.ParseFile(fileSet, file, nil, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(parsed, func(node ast.Node) bool {
				literal, ok := node.(*ast.BasicLit)
				if !ok || literal.Kind != token.STRING {
					return true
				}
				if text, err := strconv.Unquote(literal.Value); err == nil && words[text] {
					t.Errorf("%s: %s is spelled here; use the types of package protocol", fileSet.Position(literal.Pos()), literal.Value)
				}
				return true
			})
		}
	}
}

// Verbs are parsed ignoring case, and each status is parsed back from its own word; unknown words are not accepted.
func TestWordsAndTypesMatch(t *testing.T) {
	for word, want := range map[string]Verb{"C.GET": VerbGet, "c.get": VerbGet, "C.SET": VerbSet, "c.Set": VerbSet, "ping": VerbPing, "PING": VerbPing, "": VerbUnknown, "C.GETS": VerbUnknown, "HELLO": VerbUnknown} {
		if verb := ParseVerb([][]byte{[]byte(word)}); verb != want {
			t.Errorf("%q: got verb %d, want %d", word, verb, want)
		}
	}
	for status, word := range map[EndpointStatus]string{EndpointReady: "Ready", EndpointDraining: "Terminating", EndpointGone: "Gone"} {
		if status.String() != word || parseEndpointStatus(word) != status {
			t.Errorf("%q and status %d do not match", word, status)
		}
	}
	for _, word := range []string{"", "ready", "Up"} {
		if status := parseEndpointStatus(word); status != 0 {
			t.Errorf("%q: got status %v, want none", word, status)
		}
	}
}
