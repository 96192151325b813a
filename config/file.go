package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// MaxFileBytes is how many bytes a settings file may have: many times what one needs, and little memory.
const MaxFileBytes = 1 << 20

// What is wrong with a file as a whole. The texts are for people, behind the file's name.
var (
	errNotRegular = errors.New("not a regular file")
	errTooLong    = fmt.Errorf("over %d bytes", MaxFileBytes)
	errChanged    = errors.New("it changed while it was read")
)

// ReadFile reads a regular file of at most MaxFileBytes bytes. It guards against a file that is written over in place
// while it is read: half of one file and half of another can be a file, too. It is therefore read twice, and refused
// where the two differ.
func ReadFile(file string) ([]byte, error) {
	opened, err := os.OpenFile(file, os.O_RDONLY|unix.O_NONBLOCK, 0) // A pipe must not hold the process up.
	if err != nil {
		var withPath *os.PathError
		if errors.As(err, &withPath) {
			err = withPath.Err // The name stands in front already.
		}
		return nil, err
	}
	defer opened.Close()
	info, err := opened.Stat()
	switch {
	case err != nil:
		return nil, err
	case !info.Mode().IsRegular():
		return nil, errNotRegular
	}
	content, err := io.ReadAll(io.LimitReader(opened, MaxFileBytes+1))
	if err == nil && len(content) > MaxFileBytes {
		err = errTooLong
	}
	if err != nil {
		return content, err
	}
	again, err := io.ReadAll(io.NewSectionReader(opened, 0, MaxFileBytes+1))
	if err == nil && !bytes.Equal(content, again) {
		err = errChanged
	}
	return content, err
}
