package server

import (
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"hollylever/evacuation"
	"hollylever/fleetconfig"
)

func zonesCommand() *cobra.Command {
	a := &asker{}
	c := &cobra.Command{Use: "zones", Short: "See how zones stand in the fleet, leave one and come back"}
	a.flags(c)
	list := &cobra.Command{Use: "list", Short: "List zones: hosts, how many fail for several, who left them, how far the way is", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, _, err := a.fleet()
			if err != nil {
				return err
			}
			if a.asJSON {
				return say(c, s.Zones)
			}
			out := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(out, "ZONE\tHOSTS\tFAIL FOR SEVERAL\tLEFT\tKEYS AWAY\t")
			for _, z := range s.Zones {
				left, own := "-", ""
				switch {
				case z.ByHand && z.Fails:
					left = "by hand, and as it fails"
				case z.ByHand:
					left = "by hand"
				case z.Fails:
					left = "as it fails"
				case z.Part > 0:
					left = "coming back"
				}
				if z.Own {
					own = "this process's"
				}
				fmt.Fprintf(out, "%s\t%d\t%d\t%s\t%.0f%%\t%s\n", printable(z.Zone), z.Hosts, z.Failing, left, 100*z.Part, own)
			}
			return out.Flush()
		}}
	plan := &cobra.Command{Use: "plan ZONE", Short: "Say what would remain without a zone; nothing is changed", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, names []string) error {
			s, _, err := a.fleet()
			if err != nil {
				return err
			}
			all, remains, others, known := 0, 0, 0, false
			for _, z := range s.Zones {
				all += z.Hosts
				known = known || z.Zone == names[0]
				if z.Zone != names[0] && !z.ByHand && !z.Fails {
					remains += z.Hosts - z.Failing
					others++
				}
			}
			if !known {
				return coded{fmt.Errorf("no zone %s", printable(names[0])), exitMistake}
			}
			fmt.Fprintf(c.OutOrStdout(), "without %s %d of %d hosts remain, in %d zones; each has %.2f times the keys that it has with all\n", printable(names[0]), remains, all, others,
				float64(all)/float64(max(1, remains)))
			if others == 0 || float64(remains) < evacuation.MinRemainingShare*float64(all) {
				return coded{fmt.Errorf("leaving may be worse than staying: under a third remains"), exitNo}
			}
			return nil
		}}
	why := ""
	leave := &cobra.Command{Use: "leave ZONE", Short: "Have the whole fleet leave a zone, in steps over 10 s, until it is told to return", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, names []string) error {
			s, _, err := a.fleet()
			if err != nil {
				return err
			}
			others, known := 0, false
			for _, z := range s.Zones {
				known = known || z.Zone == names[0]
				if z.Zone != names[0] && !z.ByHand {
					others++
				}
			}
			switch {
			case !known:
				return coded{fmt.Errorf("no zone %s", printable(names[0])), exitMistake}
			case others == 0:
				return coded{fmt.Errorf("%s is the last zone: it is not left", printable(names[0])), exitNo}
			}
			return a.propose(c, fleetconfig.Proposal{EvacuateZones: names, Reason: why})
		}}
	back := &cobra.Command{Use: "return ZONE", Short: "Come back to a zone, in steps over one and a half warm-ups, whoever left it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, names []string) error {
			return a.propose(c, fleetconfig.Proposal{RestoreZones: append(slices.Clone(names), evacuation.AutomaticPrefix+names[0]), Reason: why})
		}}
	for _, one := range []*cobra.Command{leave, back} {
		one.Flags().StringVar(&why, "why", "", "for the history")
	}
	c.AddCommand(list, plan, leave, back)
	return c
}
