package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"hollylever/fleetconfig"
	"hollylever/routing"
)

const (
	doorFor  = 2 * time.Second // a door owes an answer in one
	mostSaid = 16 << 20
)

// asker is a command that speaks to a running balancer's door.
type asker struct {
	door   string
	asJSON bool
}

func (a *asker) flags(c *cobra.Command) {
	c.PersistentFlags().StringVar(&a.door, "door", os.Getenv("LB_MGMT"), "the operators' door of a running balancer, ADDRESS:PORT (LB_MGMT)")
	c.PersistentFlags().BoolVar(&a.asJSON, "json", false, "answer in JSON")
}

// call makes one call. An answer of no is an error that says what the door said.
func (a *asker) call(method, path string) (string, error) {
	return a.callWith(method, path, nil, doorFor)
}

// callWith is a call that has a body, and waits for so long.
func (a *asker) callWith(method, path string, body []byte, wait time.Duration) (string, error) {
	if a.door == "" {
		return "", coded{errors.New("--door: not given, and LB_MGMT is not set"), exitUse}
	}
	call, err := http.NewRequest(method, "http://"+a.door+path, bytes.NewReader(body))
	if err != nil {
		return "", coded{fmt.Errorf("--door: %q is not an address and a port", a.door), exitUse}
	}
	client := &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	answer, err := client.Do(call)
	if err != nil {
		var at *url.Error
		if errors.As(err, &at) {
			err = at.Err // The call itself need not be said again.
		}
		return "", coded{fmt.Errorf("the door at %s does not answer: %w", a.door, err), exitNoDoor}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, mostSaid))
	said, _, _ := strings.Cut(strings.TrimSpace(string(text)), "\n")
	switch {
	case err != nil:
		return "", coded{fmt.Errorf("the door at %s breaks off: %w", a.door, err), exitNoDoor}
	case answer.StatusCode == http.StatusInternalServerError, answer.StatusCode == http.StatusServiceUnavailable, answer.StatusCode/100 == 4:
		return "", coded{fmt.Errorf("no: %.200s (%s)", printable(said), answer.Status), exitNo}
	case answer.StatusCode != http.StatusOK:
		return "", coded{fmt.Errorf("the door at %s answers %s", a.door, answer.Status), exitNoDoor}
	}
	return string(text), nil
}

// printable guards a terminal against what answers there.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, text)
}

func (a *asker) nonsense() error {
	return coded{fmt.Errorf("what answers at %s is no door of hollylever", a.door), exitNoDoor}
}

func say(c *cobra.Command, what any) error {
	out := json.NewEncoder(c.OutOrStdout())
	out.SetIndent("", "  ")
	return out.Encode(what)
}

func readyCommand() *cobra.Command {
	a := &asker{}
	c := &cobra.Command{Use: "ready", Short: "Ask whether a balancer takes clients", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		_, err := a.call(http.MethodGet, "/ready")
		var with coded
		if no := errors.As(err, &with) && with.code == exitNo; a.asJSON && (err == nil || no) {
			if err := say(c, map[string]bool{"ready": !no}); err != nil {
				return err
			}
			if no {
				return coded{errTold, exitNo}
			}
			return nil
		}
		if err == nil {
			fmt.Fprintln(c.OutOrStdout(), "ready")
		}
		return err
	}}
	a.flags(c)
	return c
}

// hosts asks for all of them.
func (a *asker) hosts() (all []routing.EndpointStatus, err error) {
	text, err := a.call(http.MethodGet, "/cache-hosts")
	if err != nil {
		return nil, err
	}
	if json.Unmarshal([]byte(text), &all) != nil {
		return nil, a.nonsense()
	}
	return all, nil
}

func hostsCommand() *cobra.Command {
	a := &asker{}
	c := &cobra.Command{Use: "hosts", Short: "See cache hosts, take them out and back"}
	a.flags(c)
	c.AddCommand(&cobra.Command{Use: "list", Short: "List cache hosts as a balancer has them", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		all, err := a.hosts()
		if err != nil {
			return err
		}
		if a.asJSON {
			return say(c, all)
		}
		out := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(out, "ID\tADDRESS\tKIND\tZONE\tLISTED\tHERE\tTRIPS\tSTARTED")
		for _, h := range all {
			here, started := "used", "long ago"
			switch {
			case h.ByHand:
				here = "out by hand"
			case h.Avoided:
				here = "avoided"
			}
			if h.Started > 0 {
				started = time.UnixMilli(h.Started).UTC().Format(time.DateTime)
			}
			for n, word := range []string{h.ID, h.Address, h.Kind, h.Zone, h.Listed, here, strconv.Itoa(h.Trips), started} {
				if n > 0 {
					fmt.Fprint(out, "\t")
				}
				fmt.Fprint(out, printable(word))
			}
			fmt.Fprintln(out)
		}
		return out.Flush()
	}})
	for word, path := range map[string]string{"out": "/cache-hosts/disable/", "back": "/cache-hosts/enable/"} {
		byAll, why := false, ""
		one := &cobra.Command{Use: word + " ID", Short: map[string]string{"out": "Take a cache host out, whatever discovery lists",
			"back": "Use a cache host again"}[word], Args: cobra.ExactArgs(1),
			ValidArgsFunction: func(*cobra.Command, []string, string) (ids []string, _ cobra.ShellCompDirective) {
				all, _ := a.hosts()
				for _, h := range all {
					ids = append(ids, h.ID)
				}
				return ids, cobra.ShellCompDirectiveNoFileComp
			},
			RunE: func(c *cobra.Command, ids []string) error {
				if byAll {
					p := fleetconfig.Proposal{EjectEndpoints: ids, Reason: why}
					if word == "back" {
						p.EjectEndpoints, p.UnejectEndpoints = nil, ids
					}
					return a.propose(c, p)
				}
				if _, err := a.call(http.MethodPost, path+url.PathEscape(ids[0])); err != nil {
					return err
				}
				if a.asJSON {
					return say(c, map[string]any{"id": ids[0], "out": word == "out"})
				}
				fmt.Fprintf(c.OutOrStdout(), "%s is %s\n", ids[0], map[string]string{"out": "out", "back": "in use again"}[word])
				return nil
			}}
		one.Flags().BoolVar(&byAll, "fleet", false, "propose it to the fleet: it counts at all balancers")
		one.Flags().StringVar(&why, "why", "", "with --fleet: why, for the history")
		c.AddCommand(one)
	}
	return c
}

// figures asks for them.
func (a *asker) figures() (map[string]int, error) {
	text, err := a.call(http.MethodGet, "/metrics")
	if err != nil {
		return nil, err
	}
	all := map[string]int{}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		name, number, is := strings.Cut(line, "=")
		n, err := strconv.Atoi(number)
		if !is || err != nil {
			return nil, a.nonsense()
		}
		all[name] = n
	}
	return all, nil
}

func figuresCommand() *cobra.Command {
	a := &asker{}
	c := &cobra.Command{Use: "figures", Short: "Show a balancer's figures", Args: cobra.NoArgs}
	a.flags(c)
	every := c.Flags().Duration("every", time.Second, "with --watch: how often")
	times := c.Flags().Int("times", 0, "with --watch: how often in all; 0: until it is ended")
	watch := c.Flags().Bool("watch", false, "go on, and show what came since")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *every < 10*time.Millisecond {
			return coded{errors.New("--every: under 10ms"), exitUse}
		}
		before := map[string]int{}
		for n := 1; ; n++ {
			all, err := a.figures()
			if err != nil {
				return err
			}
			if a.asJSON {
				if err := say(c, all); err != nil {
					return err
				}
			} else if err := table(c.OutOrStdout(), all, before, *watch && n > 1); err != nil {
				return err
			}
			if !*watch || *times > 0 && n >= *times {
				return nil
			}
			before = all
			time.Sleep(*every)
		}
	}
	return c
}

// table shows figures: workloads as rows, then the others.
func table(to io.Writer, all, before map[string]int, since bool) error {
	var workloads, others []string
	for name := range all {
		if w, is := strings.CutPrefix(name, "replies."); !is {
			others = append(others, name)
		} else if w, is := strings.CutSuffix(w, ".success"); is {
			workloads = append(workloads, w)
		}
	}
	sort.Strings(workloads)
	sort.Strings(others)
	out := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	show := func(name string) string {
		if since {
			return fmt.Sprintf("%d\t%+d", all[name], all[name]-before[name])
		}
		return fmt.Sprintf("%d\t", all[name])
	}
	fmt.Fprintln(out, "workload\tsettled\t\tdismissed\t\tgiven up\t\t")
	for _, w := range workloads {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t\n", printable(w), show("replies."+w+".success"), show("replies."+w+".overload"), show("replies."+w+".error"))
	}
	if err := out.Flush(); err != nil {
		return err
	}
	names := map[string]string{"dispatches": "trips handed over", "concurrent": "retrievals open", "targets": "cache hosts listed", "targets_disabled": "of them avoided"}
	out = tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	for _, name := range others {
		said, known := names[name]
		if !known {
			said = printable(name)
		}
		fmt.Fprintf(out, "%s\t%s\n", said, show(name))
	}
	fmt.Fprintln(out)
	return out.Flush()
}
