package standins

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Encode writes a command as an array of bulk strings.
func Encode(words ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return []byte(b.String())
}

// ReadCommand reads one command.
func ReadCommand(r *bufio.Reader) ([]string, error) {
	n, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, n)
	for i := range words {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, err
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(r, text); err != nil {
			return nil, err
		}
		words[i] = string(text[:size])
	}
	return words, nil
}

func readLength(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("unexpected line %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// ReadReply reads a balancer's answer: a line, or a bulk string, which is returned behind "$".
func ReadReply(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if !strings.HasPrefix(line, "$") {
		return line, nil
	}
	size, err := strconv.Atoi(line[1:])
	if err != nil || size < 0 {
		return line, err
	}
	text := make([]byte, size+2)
	if _, err := io.ReadFull(r, text); err != nil {
		return "", err
	}
	return "$" + string(text[:size]), nil
}
