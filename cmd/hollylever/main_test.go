package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// The platform starts the program by the deploy file, with a library of its own loaded into it: `run` has to become one
// process by exec, of a file that the C linker has linked, with an interpreter and the C library to be found by it.
func TestIsBuiltAsTheDeployFileSays(t *testing.T) {
	root := filepath.Join("..", "..")
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Build, Run string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	file, execs := strings.CutPrefix(deploy.Run, "exec ")
	if !execs || strings.ContainsAny(file, " ;&|") {
		t.Fatalf("run is %q", deploy.Run)
	}
	build := exec.Command("/bin/sh", "-c", deploy.Build)
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", deploy.Build, err, out)
	}
	program, err := elf.Open(filepath.Join(root, file))
	if err != nil {
		t.Fatal(err)
	}
	defer program.Close()
	interpreter := program.Section(".interp")
	if interpreter == nil {
		t.Fatal("it names no interpreter: it is linked statically")
	}
	if path, err := interpreter.Data(); err != nil || !strings.Contains(string(path), "ld-linux") {
		t.Errorf("its interpreter is %q, %v", path, err)
	}
	libraries, err := program.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("it is linked against %v, %v", libraries, err)
	}
	// What the C linker leaves and Go's own does not: the start is the C library's.
	if symbols, err := program.DynamicSymbols(); err != nil || !slices.ContainsFunc(symbols, func(s elf.Symbol) bool { return s.Name == "__libc_start_main" }) {
		t.Errorf("it does not begin in the C library: %v", err)
	}
}
