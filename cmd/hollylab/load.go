package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/spf13/cobra"

	"hollylever/fakes"
)

func loadCommand() *cobra.Command {
	var load fakes.Load
	var to string
	var over time.Duration
	var asJSON bool
	c := &cobra.Command{Use: "load", Short: "Put the demo's clients before any balancer on loopback: open loop, timed from when each was to be asked", Args: cobra.NoArgs}
	c.Flags().StringVar(&to, "to", "", "where the balancer takes clients, 127.x.y.z:PORT")
	c.Flags().DurationVar(&over, "for", 10*time.Second, "how long")
	c.Flags().IntVar(&load.Rate, "rate", 200, "retrievals a second")
	c.Flags().IntVar(&load.Keys, "keys", 3000, "keys, popular by a Zipf law")
	c.Flags().Uint64Var(&load.Seed, "seed", 1, "of what is asked; another one each time, as ids must be new")
	c.Flags().DurationVar(&load.Patience, "patience", 1500*time.Millisecond, "how long a client waits")
	c.Flags().Float64Var(&load.Books, "books", 0, "the part that are one-shots")
	c.Flags().Float64Var(&load.Reports, "reports", 0, "the part that are stamped")
	c.Flags().BoolVar(&asJSON, "json", false, "answer in JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		at, err := net.ResolveTCPAddr("tcp", to)
		switch {
		case to == "" || err != nil:
			return fmt.Errorf("--to: %q is not an address and a port", to)
		case !at.IP.IsLoopback():
			return fmt.Errorf("--to: %s is not on loopback: load goes nowhere else", to)
		case load.Rate < 1 || load.Rate > 50000, over < 100*time.Millisecond || over > time.Hour, load.Keys < 2, load.Patience < time.Millisecond:
			return errors.New("--rate, --for, --keys or --patience: out of bounds")
		case load.Books < 0 || load.Reports < 0 || load.Books+load.Reports > 1:
			return errors.New("--books and --reports: not parts of one")
		}
		ctx, end := context.WithTimeout(c.Context(), over)
		defer end()
		clients := fakes.Ask(ctx, to, load)
		<-ctx.Done()
		f := clients.Wait()
		if asJSON {
			said := map[string]any{"asked": f.Asked, "settled": f.Settled, "dismissed": f.Dismissed, "given_up": f.GivenUp, "late": f.Late, "door": f.Door, "wrong": f.Wrong,
				"silence_ms": f.Silence.Milliseconds()}
			for w, name := range fakes.Workloads {
				took := clients.Latency(w)
				said[name] = map[string]int64{"answers": took.TotalCount(), "median_us": took.ValueAtQuantile(50), "p99_us": took.ValueAtQuantile(99),
					"p999_us": took.ValueAtQuantile(99.9), "most_us": took.Max()}
			}
			out := json.NewEncoder(c.OutOrStdout())
			out.SetIndent("", "  ")
			return out.Encode(said)
		}
		fmt.Fprintf(c.OutOrStdout(), "%s\n%d asked: %d settled, %d dismissed, %d given up, %d late, %d at the door, %d wrong; longest silence %v\n",
			latencies([]*fakes.Clients{clients}), f.Asked, f.Settled, f.Dismissed, f.GivenUp, f.Late, f.Door, f.Wrong, f.Silence.Round(time.Millisecond))
		return nil
	}
	return c
}
