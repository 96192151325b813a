package server

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"hollylever/config"
	"hollylever/transport"
)

// Configuration is what the platform tells a process: its configuration file (JSON), with the LB_ variables that are
// set before it.
type Configuration struct {
	File             string // where it was read; errors name it
	Name             string // of the balancer; its processes share it
	ListenAddress    string // for clients
	DiscoveryAddress string
	AdminAddress     string // of the admin endpoint; empty: there is none
	ListenDescriptor int    // of an inherited listening socket; noDescriptor: there is none
	Seed             uint64 // of the balancer's random source

	Cores          float64 // of CPU
	MemoryMB       float64
	MaxDescriptors int

	EndpointList   []byte         // to start with, in the form in which discovery answers
	Settings       map[string]any // the operators', by path
	SettingsDigest string         // tells whether two processes run with the same settings
}

const noDescriptor = -1

// idleTimeoutShare is the part of the hosts' own time-out (allowed.connIdle) after which an idle connection is closed
// here, so that no request is sent on one that the host is just closing.
const idleTimeoutShare = 0.7

const nanosPerMilli = 1e6

// hasInheritedSocket tells whether the process listens on a socket that it shares with others of its balancer.
func (c *Configuration) hasInheritedSocket() bool { return c.ListenDescriptor != noDescriptor }

// zone is the process's own; empty: it has none.
func (c *Configuration) zone() string {
	zone, _ := c.Settings["zone"].(string)
	return zone
}

// idleTimeout is the time after which idle connections to cache hosts are closed; 0: never.
func (c *Configuration) idleTimeout() time.Duration {
	milliseconds, _ := c.Settings["allowed.connIdle"].(float64)
	return time.Duration(milliseconds * nanosPerMilli * idleTimeoutShare)
}

// dialTimeout is the time within which a cache host has to accept a connection; 0: no bound.
func (c *Configuration) dialTimeout() time.Duration {
	milliseconds, _ := c.Settings["allowed.dialTimeout"].(float64)
	return time.Duration(milliseconds * nanosPerMilli)
}

// longestHardStop is the longest deadline that a request of any workload can have.
func (c *Configuration) longestHardStop() time.Duration {
	longest, count := 0.0, c.Settings["workloads"].(float64) // The parser refuses settings without.
	for i := range int(count) {
		milliseconds, _ := c.Settings["workloads."+strconv.Itoa(i)+".hardStop"].(float64)
		longest = max(longest, milliseconds)
	}
	return time.Duration(longest * nanosPerMilli)
}

const (
	// A configuration that is being written as the process starts is complete within writeTimeout, and is read again
	// each pollInterval.
	writeTimeout = time.Second
	pollInterval = 10 * time.Millisecond
)

var errNoConfiguration = errors.New("LB_CONFIG: not set")

// readConfiguration reads the file that LB_CONFIG names, as a process starts. The other variables, where they are set,
// go before it. An error names the variable or the field; a fields.FieldError is in it where a field is wrong.
func readConfiguration() (*Configuration, error) {
	return readConfigurationWith(os.Getenv, writeTimeout)
}

// rereadConfiguration reads the file again in a process that serves. The variables are those of the start and the file
// is newer, so only LB_NAME, which no file can change, goes before it. It never waits for a file that is being written:
// what is in force stays.
func rereadConfiguration() (*Configuration, error) {
	onlyName := func(name string) string {
		if name == "LB_NAME" {
			return os.Getenv(name)
		}
		return ""
	}
	return readConfigurationWith(onlyName, 0)
}

func readConfigurationWith(getenv func(string) string, wait time.Duration) (*Configuration, error) {
	file := os.Getenv("LB_CONFIG")
	if file == "" {
		return nil, errNoConfiguration
	}
	text, err := readJSONObject(file, wait)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	c, mistakes := ParseConfiguration(file, text, getenv)
	if len(mistakes) > 0 {
		first := mistakes[0]
		first.Line = 0 // The field alone: a log line or the last line of a process, which need not tell the place in the file.
		return nil, first
	}
	return c, nil
}

// readJSONObject reads a file. One that is missing, is no complete JSON object, or cannot be opened for want of
// descriptors is read again until the wait is over; what it holds then is returned. Guards a process that starts while
// the file is being replaced: it would end with "not a JSON object" for half a file.
func readJSONObject(file string, wait time.Duration) ([]byte, error) {
	for end := time.Now().Add(wait); ; time.Sleep(pollInterval) {
		text, err := os.ReadFile(file)
		isBeingWritten := errors.Is(err, fs.ErrNotExist) || err == nil && !isJSONObject(text)
		if !isBeingWritten && !transport.IsLocalShortage(err) || !time.Now().Before(end) {
			return text, err
		}
	}
}

func isJSONObject(text []byte) bool {
	return gjson.ValidBytes(text) && gjson.ParseBytes(text).IsObject()
}

// ParseConfiguration parses and checks a configuration. getenv returns the LB_ variables that go before the file, ""
// for one that is not set. It returns the configuration, or every mistake in it: those of the file with the line and
// column, those of a variable with its name as the file, and a file that is no JSON object as a mistake of LB_CONFIG.
func ParseConfiguration(file string, text []byte, getenv func(string) string) (*Configuration, []config.FieldError) {
	if !isJSONObject(text) {
		return nil, []config.FieldError{{File: "LB_CONFIG", Reason: file + " is not a JSON object"}}
	}
	p := newConfigurationParser(file, text, getenv)
	p.parseAddresses()
	p.parseListenDescriptor()
	p.parseSeed()
	p.checkEndpointList()
	p.checkNamedTables()
	p.checkWorkloads()
	p.checkFields()
	if len(p.mistakes) > 0 {
		return nil, p.mistakes
	}
	return p.configuration, nil
}
