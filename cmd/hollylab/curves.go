package main

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"hollylever/subset"
)

// curvesCommand plots, by size, how fair subsets are and what they spare, beside what is not done.
func curvesCommand() *cobra.Command {
	var out string
	c := &cobra.Command{Use: "curves", Short: "Plot how subsets of hosts share out over sizes, as SVG and PNG", Args: cobra.NoArgs}
	c.Flags().StringVar(&out, "out", ".", "the folder for the pictures")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := os.MkdirAll(out, 0o755); err != nil {
			return coded{err, exitMistake}
		}
		sizes := []int{3, 6, 12, 24, 50, 100, 200, 300, 500, 1000}
		var fair, spared []any
		fmt.Fprintln(c.OutOrStdout(), "balancers  hosts  most over mean: hosts choose, balancers choose  connections a host: subset, everybody")
		for _, hosts := range []int{24, 500, 5000} {
			var ours, theirs, few, all plotter.XYs
			for _, n := range sizes {
				a, b := share(n, hosts)
				rule := subset.DefaultConfig.BalancersPerEndpoint(n, hosts)
				fmt.Fprintf(c.OutOrStdout(), "%9d  %5d  %.2f %.2f  %d %d\n", n, hosts, a, b, rule, n)
				ours, theirs = append(ours, plotter.XY{X: float64(n), Y: a}), append(theirs, plotter.XY{X: float64(n), Y: b})
				few, all = append(few, plotter.XY{X: float64(n), Y: float64(rule)}), append(all, plotter.XY{X: float64(n), Y: float64(n)})
			}
			fair = append(fair, fmt.Sprintf("hosts choose, %d hosts", hosts), ours, fmt.Sprintf("balancers choose, %d hosts", hosts), theirs)
			spared = append(spared, fmt.Sprintf("subset, %d hosts", hosts), few)
			if hosts == 5000 {
				spared = append(spared, "everybody", all)
			}
		}
		if err := picture(filepath.Join(out, "subset-fairness"), "The most that one host is in use by, over the mean", "balancers", "most over mean", fair, logX); err != nil {
			return coded{err, exitMistake}
		}
		if err := picture(filepath.Join(out, "subset-connections"), "Balancers that keep connections to a host", "balancers", "a host", spared, logX|logY); err != nil {
			return coded{err, exitMistake}
		}
		return nil
	}
	return c
}

// How a picture's axes are.
const plain, logX, logY = 0, 1, 2

// picture writes lines, as SVG and PNG.
func picture(path, title, x, y string, lines []any, axes int) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	if axes&logX != 0 {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if p.Legend.Top = true; axes&logY != 0 {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		p.Legend.Left = true
	} else {
		p.Y.Min = 0
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	if axes&logY == 0 {
		p.Y.Max *= 1.5 // Room for the legend.
	}
	for _, form := range []string{".svg", ".png"} {
		if err := p.Save(18*vg.Centimeter, 11*vg.Centimeter, path+form); err != nil {
			return err
		}
	}
	return nil
}

// share gives the most that one host is in use by over the mean: where hosts choose balancers, and where each balancer
// takes the first twenty in its own order, which is what is commonly done with rendezvous hashing.
func share(balancers, hosts int) (ours, theirs float64) {
	var all []subset.Balancer
	var of []subset.Endpoint
	for n := range balancers {
		all = append(all, subset.Balancer{Name: fmt.Sprint("b-", n)})
	}
	for n := range hosts {
		of = append(of, subset.Endpoint{Name: fmt.Sprint("h-", n)})
	}
	over := func(sets *subset.Assignment, rows, columns int, name func(int) string) float64 {
		uses := map[string]int{}
		for n := range rows {
			for _, other := range sets.BalancersOf(subset.Endpoint{Name: name(n)}) {
				uses[other]++
			}
		}
		total, most := 0, 0
		for _, n := range uses {
			total, most = total+n, max(most, n)
		}
		return float64(most) * float64(columns) / math.Max(1, float64(total))
	}
	sets := subset.New(all, of, subset.DefaultConfig)
	uses := make([]int, 0, hosts)
	for _, h := range of {
		uses = append(uses, len(sets.BalancersOf(h)))
	}
	total := 0
	for _, n := range uses {
		total += n
	}
	ours = float64(slices.Max(uses)) * float64(hosts) / float64(total)
	// The other way round: hosts as those that are chosen.
	var chosen []subset.Balancer
	for _, h := range of {
		chosen = append(chosen, subset.Balancer{Name: h.Name})
	}
	var choose []subset.Endpoint
	for _, b := range all {
		choose = append(choose, subset.Endpoint{Name: b.Name})
	}
	each := subset.Config{MinEndpoints: 1, MinBalancers: min(subset.DefaultConfig.MinEndpoints, hosts)}
	theirs = over(subset.New(chosen, choose, each), balancers, hosts, func(n int) string { return all[n].Name })
	return ours, theirs
}
