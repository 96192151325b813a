package cli

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

const minWatchInterval = 10 * time.Millisecond // the admin endpoint closes the connection after each answer

func newFiguresCommand() *cobra.Command {
	a := &adminClient{}
	c := &cobra.Command{Use: "figures", Short: "Show a balancer's figures", Args: cobra.NoArgs}
	a.addFlags(c)
	interval := c.Flags().Duration("every", time.Second, "with --watch: how often")
	times := c.Flags().Int("times", 0, "with --watch: how often in all; 0: until it is ended")
	watch := c.Flags().Bool("watch", false, "go on, and show what came since")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *interval < minWatchInterval {
			return exitError{errors.New("--every: under 10ms"), exitUsage}
		}
		var previous map[string]int
		for n := 1; ; n++ {
			metrics, err := a.metrics()
			if err != nil {
				return err
			}
			if err := a.printMetrics(c, metrics, previous); err != nil {
				return err
			}
			if !*watch || *times > 0 && n >= *times {
				return nil
			}
			previous = metrics
			time.Sleep(*interval)
		}
	}
	return c
}

// metrics returns the balancer's metrics by name.
func (a *adminClient) metrics() (map[string]int, error) {
	text, err := a.request(http.MethodGet, "/metrics")
	if err != nil {
		return nil, err
	}
	metrics := map[string]int{}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		name, value, hasValue := strings.Cut(line, "=")
		number, err := strconv.Atoi(value)
		if !hasValue || err != nil {
			return nil, a.errNotAdminEndpoint()
		}
		metrics[name] = number
	}
	return metrics, nil
}

func (a *adminClient) printMetrics(c *cobra.Command, metrics, previous map[string]int) error {
	if a.asJSON {
		return printJSON(c, metrics)
	}
	return printMetricsTables(c.OutOrStdout(), metrics, previous)
}

// metricLabels are the names in the table of those metrics that have one.
var metricLabels = map[string]string{"dispatches": "trips handed over", "concurrent": "retrievals open", "targets": "cache hosts listed",
	"targets_disabled": "of them avoided"}

// printMetricsTables prints a table with a row for each workload, then one of the other metrics. Where previous is not
// nil, each value is followed by what it grew by.
func printMetricsTables(out io.Writer, metrics, previous map[string]int) error {
	format := func(name string) string {
		if previous != nil {
			return fmt.Sprintf("%d\t%+d", metrics[name], metrics[name]-previous[name])
		}
		return fmt.Sprintf("%d\t", metrics[name])
	}
	workloads, others := splitMetrics(metrics)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workload\tsettled\t\tdismissed\t\tgiven up\t\t")
	for _, workload := range workloads {
		prefix := "replies." + workload
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t\n", printable(workload), format(prefix+".success"), format(prefix+".overload"), format(prefix+".error"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	table = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, name := range others {
		label, hasLabel := metricLabels[name]
		if !hasLabel {
			label = printable(name)
		}
		fmt.Fprintf(table, "%s\t%s\n", label, format(name))
	}
	fmt.Fprintln(table)
	return table.Flush()
}

// splitMetrics returns the workloads that have metrics and the names of all other metrics, both sorted.
func splitMetrics(metrics map[string]int) (workloads, others []string) {
	for name := range metrics {
		workload, isWorkloads := strings.CutPrefix(name, "replies.")
		if !isWorkloads {
			others = append(others, name)
			continue
		}
		if workload, isFirst := strings.CutSuffix(workload, ".success"); isFirst {
			workloads = append(workloads, workload)
		}
	}
	sort.Strings(workloads)
	sort.Strings(others)
	return workloads, others
}
