package cli

import (
	"errors"
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"hollylever/evacuation"
	"hollylever/fleetconfig"
)

func newZonesCommand() *cobra.Command {
	a := &adminClient{}
	c := &cobra.Command{Use: "zones", Short: "See how zones stand in the fleet, leave one and come back"}
	a.addFlags(c)
	c.AddCommand(newZonesListCommand(a), newZonesPlanCommand(a), newZonesLeaveCommand(a), newZonesReturnCommand(a))
	return c
}

func newZonesListCommand(a *adminClient) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List zones: hosts, how many fail for several, who left them, how far the way is", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			status, _, err := a.fleetStatus()
			if err != nil {
				return err
			}
			if a.asJSON {
				return printJSON(c, status.Zones)
			}
			table := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "ZONE\tHOSTS\tFAIL FOR SEVERAL\tLEFT\tKEYS AWAY\t")
			for _, z := range status.Zones {
				own := ""
				if z.IsOwn {
					own = "this process's"
				}
				fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%.0f%%\t%s\n", printable(z.Zone), z.Endpoints, z.FailingEndpoints, z.describeEvacuation(),
					100*z.ShareOfKeysSentElsewhere, own)
			}
			return table.Flush()
		}}
}

// describeEvacuation tells who had the fleet leave the zone.
func (z zoneStatus) describeEvacuation() string {
	switch {
	case z.IsEvacuatedByHand && z.IsEvacuatedAsFailing:
		return "by hand, and as it fails"
	case z.IsEvacuatedByHand:
		return "by hand"
	case z.IsEvacuatedAsFailing:
		return "as it fails"
	case z.ShareOfKeysSentElsewhere > 0:
		return "coming back"
	}
	return "-"
}

func newZonesPlanCommand(a *adminClient) *cobra.Command {
	return &cobra.Command{Use: "plan ZONE", Short: "Say what would remain without a zone; nothing is changed", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, names []string) error {
			status, _, err := a.fleetStatus()
			if err != nil {
				return err
			}
			zone := names[0]
			if err := status.checkZone(zone); err != nil {
				return err
			}
			total, remaining, otherZones := status.withoutZone(zone)
			fmt.Fprintf(c.OutOrStdout(), "without %s %d of %d hosts remain, in %d zones; each has %.2f times the keys that it has with all\n", printable(zone),
				remaining, total, otherZones, float64(total)/float64(max(1, remaining)))
			if otherZones == 0 || float64(remaining) < evacuation.MinRemainingShare*float64(total) {
				return exitError{errors.New("leaving may be worse than staying: under a third remains"), exitRequestFailed}
			}
			return nil
		}}
}

// checkZone returns an error if no cache host is in the zone.
func (s fleetStatus) checkZone(zone string) error {
	if slices.ContainsFunc(s.Zones, func(z zoneStatus) bool { return z.Zone == zone }) {
		return nil
	}
	return exitError{fmt.Errorf("no zone %s", printable(zone)), exitMistake}
}

// withoutZone counts all cache hosts, and those that do not fail in the other zones that are not evacuated, with the
// number of these zones.
func (s fleetStatus) withoutZone(zone string) (total, remaining, otherZones int) {
	for _, z := range s.Zones {
		total += z.Endpoints
		if z.Zone != zone && !z.isEvacuated() {
			remaining += z.Endpoints - z.FailingEndpoints
			otherZones++
		}
	}
	return total, remaining, otherZones
}

func newZonesLeaveCommand(a *adminClient) *cobra.Command {
	c := &cobra.Command{Use: "leave ZONE", Short: "Have the whole fleet leave a zone, in steps over 10 s, until it is told to return", Args: cobra.ExactArgs(1)}
	reason := addReasonFlag(c)
	c.RunE = func(c *cobra.Command, names []string) error {
		status, _, err := a.fleetStatus()
		if err != nil {
			return err
		}
		zone := names[0]
		if err := status.checkZone(zone); err != nil {
			return err
		}
		// Guards against a fleet without any zone: the last one that operators have not left stays.
		if !slices.ContainsFunc(status.Zones, func(z zoneStatus) bool { return z.Zone != zone && !z.IsEvacuatedByHand }) {
			return exitError{fmt.Errorf("%s is the last zone: it is not left", printable(zone)), exitRequestFailed}
		}
		return a.propose(c, fleetconfig.Proposal{EvacuateZones: names, Reason: *reason})
	}
	return c
}

func newZonesReturnCommand(a *adminClient) *cobra.Command {
	c := &cobra.Command{Use: "return ZONE", Short: "Come back to a zone, in steps over one and a half warm-ups, whoever left it", Args: cobra.ExactArgs(1)}
	reason := addReasonFlag(c)
	c.RunE = func(c *cobra.Command, names []string) error {
		zones := append(slices.Clone(names), evacuation.AutomaticPrefix+names[0])
		return a.propose(c, fleetconfig.Proposal{RestoreZones: zones, Reason: *reason})
	}
	return c
}

func addReasonFlag(c *cobra.Command) *string { return c.Flags().String("why", "", "for the history") }
