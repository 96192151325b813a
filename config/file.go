package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// MaxFileBytes is the maximum size of a settings file: many times the size that one needs, and still little memory.
const MaxFileBytes = 1 << 20

// Errors of a file as a whole. Whoever prints them puts the file name before the text.
var (
	errNotRegular = errors.New("not a regular file")
	errTooLarge   = fmt.Errorf("larger than %d bytes", MaxFileBytes)
	errChanged    = errors.New("changed while it was being read")
)

// ReadFile reads a regular file of at most MaxFileBytes bytes. It reads the file twice and fails if the contents differ:
// a file that is overwritten in place in the meantime could be read half old and half new, and such a mix can still be
// valid.
func ReadFile(file string) ([]byte, error) {
	opened, err := os.OpenFile(file, os.O_RDONLY|unix.O_NONBLOCK, 0) // Without O_NONBLOCK, opening a named pipe would block.
	if err != nil {
		var pathError *os.PathError
		if errors.As(err, &pathError) {
			err = pathError.Err // Callers put the file name before the error.
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
		err = errTooLarge
	}
	if err != nil {
		return content, err
	}
	reread, err := io.ReadAll(io.NewSectionReader(opened, 0, MaxFileBytes+1))
	if err == nil && !bytes.Equal(content, reread) {
		err = errChanged
	}
	return content, err
}
