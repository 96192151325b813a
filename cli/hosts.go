package cli

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"hollylever/fleetconfig"
	"hollylever/routing"
)

func newHostsCommand() *cobra.Command {
	a := &adminClient{}
	c := &cobra.Command{Use: "hosts", Short: "See cache hosts, take them out and back"}
	a.addFlags(c)
	c.AddCommand(newHostsListCommand(a), newEjectionCommand(a, ejectHost), newEjectionCommand(a, restoreHost))
	return c
}

// endpoints returns the state of all cache hosts at the balancer.
func (a *adminClient) endpoints() (all []routing.EndpointStatus, err error) {
	if _, err := a.requestJSON("/cache-hosts", &all); err != nil {
		return nil, err
	}
	return all, nil
}

func newHostsListCommand(a *adminClient) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List cache hosts as a balancer has them", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		all, err := a.endpoints()
		if err != nil {
			return err
		}
		if a.asJSON {
			return printJSON(c, all)
		}
		table := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "ID\tADDRESS\tKIND\tZONE\tLISTED\tHERE\tTRIPS\tSTARTED")
		for _, endpoint := range all {
			fmt.Fprintln(table, strings.Join(endpointRow(endpoint), "\t"))
		}
		return table.Flush()
	}}
}

// endpointRow is a cache host as a row of hosts list.
func endpointRow(endpoint routing.EndpointStatus) []string {
	use, startedAt := "used", "long ago"
	switch {
	case endpoint.ByHand:
		use = "out by hand"
	case endpoint.Avoided:
		use = "avoided"
	}
	if endpoint.Started > 0 {
		startedAt = time.UnixMilli(endpoint.Started).UTC().Format(time.DateTime)
	}
	row := []string{endpoint.ID, endpoint.Address, endpoint.Kind, endpoint.Zone, endpoint.Listed, use, strconv.Itoa(endpoint.Trips), startedAt}
	for n := range row {
		row[n] = printable(row[n])
	}
	return row
}

// ejection is one of the two commands by which operators take a cache host out and back.
type ejection struct {
	word, short, path string
	done              string // what is printed of the host
	isEjected         bool
}

var (
	ejectHost = ejection{word: "out", short: "Take a cache host out, whatever discovery lists", path: "/cache-hosts/disable/",
		done: "out", isEjected: true}
	restoreHost = ejection{word: "back", short: "Use a cache host again", path: "/cache-hosts/enable/", done: "in use again"}
)

// proposal has the whole fleet do the same.
func (e ejection) proposal(ids []string, reason string) fleetconfig.Proposal {
	if e.isEjected {
		return fleetconfig.Proposal{EjectEndpoints: ids, Reason: reason}
	}
	return fleetconfig.Proposal{UnejectEndpoints: ids, Reason: reason}
}

func newEjectionCommand(a *adminClient, e ejection) *cobra.Command {
	inFleet, reason := false, ""
	c := &cobra.Command{Use: e.word + " ID", Short: e.short, Args: cobra.ExactArgs(1), ValidArgsFunction: a.completeEndpoints,
		RunE: func(c *cobra.Command, ids []string) error {
			if inFleet {
				return a.propose(c, e.proposal(ids, reason))
			}
			if _, err := a.request(http.MethodPost, e.path+url.PathEscape(ids[0])); err != nil {
				return err
			}
			if a.asJSON {
				return printJSON(c, map[string]any{"id": ids[0], "out": e.isEjected})
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is %s\n", ids[0], e.done)
			return nil
		}}
	c.Flags().BoolVar(&inFleet, "fleet", false, "propose it to the fleet: it counts at all balancers")
	c.Flags().StringVar(&reason, "why", "", "with --fleet: why, for the history")
	return c
}

// completeEndpoints offers the ids of all cache hosts to a shell; none if the balancer does not answer.
func (a *adminClient) completeEndpoints(*cobra.Command, []string, string) (ids []string, _ cobra.ShellCompDirective) {
	all, _ := a.endpoints()
	for _, endpoint := range all {
		ids = append(ids, endpoint.ID)
	}
	return ids, cobra.ShellCompDirectiveNoFileComp
}
