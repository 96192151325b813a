package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

func newFleetCommand() *cobra.Command {
	a := &adminClient{}
	c := &cobra.Command{Use: "fleet", Short: "See who is in the fleet and what each acts on; propose to it", Args: cobra.NoArgs}
	a.addFlags(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		status, text, err := a.fleetStatus()
		if a.asJSON && text != "" {
			fmt.Fprint(c.OutOrStdout(), text)
			return nil
		}
		if err != nil {
			return err
		}
		return status.print(c.OutOrStdout())
	}
	c.AddCommand(newProposeCommand(a), newHistoryCommand(a))
	return c
}

func (s fleetStatus) print(out io.Writer) error {
	s.printEffective(out)
	if err := printMembers(out, s.Members); err != nil {
		return err
	}
	if share := s.Effective.BudgetShare; share > 0 {
		fmt.Fprintf(out, "part of the fleet's budgets: %.1f%%\n", 100*share)
	}
	if len(s.ConnectionSubset) > 0 {
		fmt.Fprintf(out, "keeps idle connections to %d hosts: %s\n", len(s.ConnectionSubset), printable(strings.Join(s.ConnectionSubset, " ")))
	}
	if s.Outliers == nil {
		return nil
	}
	return s.Outliers.print(out)
}

// printEffective prints what this process acts on.
func (s fleetStatus) printEffective(out io.Writer) {
	lease := fmt.Sprintf("under a lease for %d ms", s.LeaseLeftMillis)
	if !s.Effective.HasLease {
		lease = "alone: cut off from the majority"
	}
	fmt.Fprintf(out, "%s acts on versions %d to %d, %s; %s leads; T %s; %d decisions alone\n", printable(s.Name), s.Effective.MinRevision,
		s.Effective.LatestRevision, lease, printable(orElse(s.Leader, "nobody known")), s.MaxDisagreement, s.DecisionsAlone)
	fmt.Fprintf(out, "out: %s; limits: %v; out by others' lists: %s\n", printable(orElse(strings.Join(s.Effective.Ejected, " "), "none")),
		s.Effective.Limits, printable(orElse(strings.Join(s.PeerDrains, " "), "none")))
}

func printMembers(out io.Writer, members []memberStatus) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tZONE\tPART\tVERSIONS\tLEASE\tLIST\tHEARD")
	for _, m := range members {
		lease, heard := m.describeLease()
		fmt.Fprintf(table, "%s\t%s\t%s\t%d-%d\t%s\t%d\t%s\n", printable(m.Name), printable(orElse(m.Zone, "-")), m.describeRole(), m.MinRevision,
			m.LatestRevision, lease, m.ListIndex, heard)
	}
	return table.Flush()
}

func (m memberStatus) describeRole() string {
	switch {
	case m.IsLeader:
		return "leads"
	case m.IsReplica:
		return "keeper"
	}
	return "-"
}

func (m memberStatus) describeLease() (lease, heard string) {
	heard = fmt.Sprintf("%d ms ago", m.HeardMillisAgo)
	switch {
	case m.HasLeft:
		return "?", "gone, " + heard
	case m.HasLease:
		return "leased", heard
	}
	return "alone", heard
}

// print prints the reports of shared outlier detection, and the cache hosts of which failures are known.
func (o outlierStatus) print(out io.Writer) error {
	fmt.Fprintf(out, "signals: %d told, %d taken, %d lost\n", o.ReportsSent, o.ReportsReceived, o.ReportsLost)
	if len(o.Endpoints) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tFAILS FOR\tZONES\tIN A ROW\tHERE\tHERE IT IS")
	for _, r := range o.Endpoints {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\n", printable(r.Endpoint), r.Witnesses, r.Zones, r.ConsecutiveFailures,
			r.OwnConsecutiveFailures, r.describeUse())
	}
	return table.Flush()
}

// describeUse tells whether this process sends requests to the host.
func (r outlierRecord) describeUse() string {
	switch {
	case r.IsEjected && r.HasProbeLease:
		return fmt.Sprintf("left for %d ms; this one has the turn to try it", r.EjectedForMillis)
	case r.IsEjected && r.ShareEjected > 0:
		return fmt.Sprintf("left for %d ms", r.EjectedForMillis)
	case r.IsEjected:
		return "used again, or not left yet"
	}
	return "used"
}

// revision is one of the fleet's configuration.
type revision struct {
	Number   uint64          `json:"version"`
	Author   string          `json:"by"`
	Reason   string          `json:"why"`
	Document json.RawMessage `json:"document"`
}

func newHistoryCommand(a *adminClient) *cobra.Command {
	return &cobra.Command{Use: "history", Short: "Show the versions that this process knows", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		text, err := a.request(http.MethodGet, "/fleet/history")
		if err != nil {
			return err
		}
		if a.asJSON {
			fmt.Fprint(c.OutOrStdout(), text)
			return nil
		}
		var revisions []revision
		if json.Unmarshal([]byte(text), &revisions) != nil {
			return a.errNotAdminEndpoint()
		}
		for _, r := range revisions {
			var document bytes.Buffer
			if json.Compact(&document, r.Document) != nil {
				return a.errNotAdminEndpoint()
			}
			fmt.Fprintf(c.OutOrStdout(), "%d  %s  %s  %s\n", r.Number, printable(orElse(r.Author, "-")), printable(orElse(r.Reason, "-")), printable(document.String()))
		}
		return nil
	}}
}
