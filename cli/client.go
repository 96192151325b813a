package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const (
	requestTimeout  = 2 * time.Second // the admin endpoint answers within one
	proposalTimeout = 8 * time.Second // it answers a proposal, which waits up to 5 s for a majority, within six
	maxResponse     = 16 << 20        // bytes; the state of a thousand cache hosts and members takes under 1 MB
)

// adminClient makes requests at the admin endpoint of a running balancer ("door" in texts and flags).
type adminClient struct {
	address string
	asJSON  bool // the command prints JSON
}

func (a *adminClient) addFlags(c *cobra.Command) {
	c.PersistentFlags().StringVar(&a.address, "door", os.Getenv("LB_MGMT"), "the operators' door of a running balancer, ADDRESS:PORT (LB_MGMT)")
	c.PersistentFlags().BoolVar(&a.asJSON, "json", false, "answer in JSON")
}

// request makes a request without a body and returns the response's. The error has the exit code.
func (a *adminClient) request(method, path string) (string, error) {
	return a.requestWith(method, path, nil, requestTimeout)
}

// requestWith makes a request with a body and waits for the response at most for the time-out.
func (a *adminClient) requestWith(method, path string, body []byte, timeout time.Duration) (string, error) {
	if a.address == "" {
		return "", exitError{errors.New("--door: not given, and LB_MGMT is not set"), exitUsage}
	}
	request, err := http.NewRequest(method, "http://"+a.address+path, bytes.NewReader(body))
	if err != nil {
		return "", exitError{fmt.Errorf("--door: %q is not an address and a port", a.address), exitUsage}
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	response, err := client.Do(request)
	if err != nil {
		var requestErr *url.Error
		if errors.As(err, &requestErr) {
			err = requestErr.Err // Without the method and the URL, which the line need not repeat.
		}
		return "", exitError{fmt.Errorf("the door at %s does not answer: %w", a.address, err), exitNoAnswer}
	}
	defer response.Body.Close()
	return a.readResponse(response)
}

// readResponse returns the body of a response with status 200; any other one is an error.
func (a *adminClient) readResponse(response *http.Response) (string, error) {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return "", exitError{fmt.Errorf("the door at %s breaks off: %w", a.address, err), exitNoAnswer}
	}
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		return string(text), nil
	case status == http.StatusInternalServerError, status == http.StatusServiceUnavailable, status/100 == 4:
		firstLine, _, _ := strings.Cut(strings.TrimSpace(string(text)), "\n")
		return "", exitError{fmt.Errorf("no: %.200s (%s)", printable(firstLine), response.Status), exitRequestFailed}
	}
	return "", exitError{fmt.Errorf("the door at %s answers %s", a.address, response.Status), exitNoAnswer}
}

// requestJSON makes a GET request and decodes the response. It returns the text of the response as well.
func (a *adminClient) requestJSON(path string, into any) (text string, err error) {
	if text, err = a.request(http.MethodGet, path); err != nil {
		return "", err
	}
	if json.Unmarshal([]byte(text), into) != nil {
		return text, a.errNotAdminEndpoint()
	}
	return text, nil
}

// errNotAdminEndpoint is the error of a response that no admin endpoint would give.
func (a *adminClient) errNotAdminEndpoint() error {
	return exitError{fmt.Errorf("what answers at %s is no door of hollylever", a.address), exitNoAnswer}
}

// printable replaces control characters. Guards a terminal against escape sequences of whatever answers at the address.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, text)
}

func printJSON(c *cobra.Command, value any) error {
	encoder := json.NewEncoder(c.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
