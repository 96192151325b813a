package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"hollylever/fakes"
)

// plan is what a demo is to do.
type plan struct {
	program string
	over    time.Duration
	rate    int
	keys    int
	seed    uint64
	trouble trouble
	at      time.Duration // when the trouble comes
	view    func(time.Duration, *town, []*fakes.Clients)
	every   time.Duration
	town    func(*town) // tests: what is to be done to it at the start
	picture string      // without its ending; "": none
}

func demoCommand() *cobra.Command {
	var p plan
	var named, trouble string
	c := &cobra.Command{Use: "demo", Short: "Start a fleet on loopback, play a trouble, and check the rules", Args: cobra.NoArgs}
	c.Flags().StringVar(&named, "hollylever", "", "the program; else the one beside hollylab, or on the path")
	c.Flags().DurationVar(&p.over, "for", 20*time.Second, "how long clients ask")
	c.Flags().IntVar(&p.rate, "rate", 600, "retrievals a second, over all balancers")
	c.Flags().IntVar(&p.keys, "keys", 3000, "keys, popular by a Zipf law")
	c.Flags().Uint64Var(&p.seed, "seed", 1, "of what is asked")
	c.Flags().StringVar(&p.picture, "picture", "", "a file without its ending, for a picture of trips by zone and fetches over time (SVG and PNG)")
	c.Flags().StringVar(&trouble, "trouble", "crash", "what goes wrong a third of the way: "+strings.Join(names(), ", "))
	_ = c.RegisterFlagCompletionFunc("trouble", func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return names(), cobra.ShellCompDirectiveNoFileComp
	})
	c.RunE = func(c *cobra.Command, _ []string) error {
		found := false
		for _, t := range troubles {
			if t.name == trouble {
				p.trouble, found = t, true
			}
		}
		switch {
		case !found:
			return fmt.Errorf("--trouble: %q is none of %s", trouble, strings.Join(names(), ", "))
		case p.over < time.Second || p.over > time.Hour:
			return errors.New("--for: not from 1s to 1h")
		case p.rate < 1 || p.rate > 20000:
			return errors.New("--rate: not from 1 to 20000")
		case p.keys < 2 || p.keys > 10_000_000:
			return errors.New("--keys: not from 2 to 10000000")
		}
		var err error
		if p.program, err = hollylever(named); err != nil {
			return coded{err, exitMistake}
		}
		p.at = p.over / 3
		out := c.OutOrStdout()
		live := false
		if file, is := out.(*os.File); is {
			live = isatty.IsTerminal(file.Fd())
		}
		p.view, p.every = shows(out, live), 500*time.Millisecond
		if !live {
			p.every = 2 * time.Second
		}
		fmt.Fprintf(out, "%d hosts of %d kinds, %d balancers, %d retrievals a second; trouble: %s, %s\n", hostCount, len(kinds), balancerCount, p.rate,
			p.trouble.name, p.trouble.says)
		v, err := play(c.Context(), p)
		switch {
		case err != nil:
			return coded{err, exitMistake}
		case c.Context().Err() != nil:
			return coded{errors.New("interrupted; all that was begun has ended"), exitEnded}
		}
		v.print(out)
		if v.broken() {
			return coded{errors.New(""), exitBroken}
		}
		return nil
	}
	return c
}

func names() (all []string) {
	for _, t := range troubles {
		all = append(all, t.name)
	}
	return all
}

// play runs a demo from its start to its end; however that comes, nothing of it is left.
func play(ctx context.Context, p plan) (*verdict, error) {
	w, err := newTown(p.program, p.trouble.agree, p.trouble.zones)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if p.town != nil {
		p.town(w)
	}
	asking, enough := context.WithTimeout(ctx, p.over)
	defer enough()
	var all []*fakes.Clients
	for n, at := range w.platforms {
		all = append(all, fakes.Ask(asking, at.Address, fakes.Load{Rate: max(1, p.rate/balancerCount), Keys: p.keys, Seed: p.seed*balancerCount + uint64(n),
			Patience: 1500 * time.Millisecond, Books: 0.05, Reports: 0.1}))
	}
	var troubled sync.WaitGroup
	troubled.Go(func() {
		if pause(asking, p.at) {
			p.trouble.play(asking, w, p.over/3)
		}
	})
	began, film := time.Now(), &film{}
	if p.picture != "" {
		go film.run(asking, w)
	}
	for tick := time.NewTicker(p.every); asking.Err() == nil; {
		select {
		case <-asking.Done():
		case <-tick.C:
			p.view(time.Since(began), w, all)
		}
	}
	troubled.Wait()
	for _, c := range all {
		c.Wait()
	}
	v := judge(w, all)
	if p.picture != "" {
		if err := film.picture(p.picture, w); err != nil {
			return v, err
		}
	}
	for n, s := range w.processes { // Planned stops are part of it: all that was taken is answered, and nothing crashes.
		if s.Stop(5 * time.Second) {
			v.wrong = append(v.wrong, fmt.Sprintf("balancer %d does not stop", n+1))
		} else if s.Err != nil {
			v.wrong = append(v.wrong, fmt.Sprintf("balancer %d ended with %v", n+1, s.Err))
		}
	}
	return v, nil
}

// verdict is what the stand-ins saw of the rules.
type verdict struct {
	figures                   fakes.ClientFigures
	lost, twice, late, pushed int
	died                      string // of a balancer that was killed
	fetches, keys             int
	wrong                     []string
	latency                   string
}

func judge(w *town, all []*fakes.Clients) *verdict {
	v := &verdict{twice: w.origin.Twice(), wrong: w.troubles}
	for n, c := range all {
		f := c.Figures()
		if n+1 == w.killed { // What it held died with it: the rules are a running balancer's.
			v.died = fmt.Sprintf("of the balancer that was killed: %d asked, %d dismissed, %d died with it", f.Asked, f.Dismissed, f.Late+f.Door)
			f.Late, f.Door = 0, 0
		}
		v.figures.Asked += f.Asked
		v.figures.Settled += f.Settled
		v.figures.Dismissed += f.Dismissed
		v.figures.GivenUp += f.GivenUp
		v.figures.Late += f.Late
		v.figures.Door += f.Door
		v.figures.Wrong += f.Wrong
		v.figures.Silence = max(v.figures.Silence, f.Silence)
	}
	v.lost = v.figures.Late + v.figures.Door + v.figures.Wrong
	for _, h := range w.hosts {
		f := h.Figures()
		v.late += f.Late
		v.pushed += f.Overloads
	}
	v.fetches, v.keys = w.origin.Fetches()
	v.latency = latencies(all)
	return v
}

func (v *verdict) broken() bool { return v.lost+v.twice+v.late+v.pushed+len(v.wrong) > 0 }

func (v *verdict) print(out io.Writer) {
	f := v.figures
	fmt.Fprintf(out, "\n%s\n%d asked: %d settled, %d dismissed, %d given up; longest silence %v; %d fetches of %d keys\n\n", v.latency, f.Asked, f.Settled, f.Dismissed,
		f.GivenUp, f.Silence.Round(time.Millisecond), v.fetches, v.keys)
	if v.died != "" {
		fmt.Fprintf(out, "%s\n\n", v.died)
	}
	for _, rule := range []struct {
		what string
		n    int
		how  string
	}{
		{"no retrieval lost", v.lost, fmt.Sprintf("%d without an answer in time, %d at the door, %d with another's answer", f.Late, f.Door, f.Wrong)},
		{"no effect twice", v.twice, fmt.Sprintf("%d one-shots ran again", v.twice)},
		{"drains kept", v.late, fmt.Sprintf("%d commands later than 2.5 s", v.late)},
		{"no cold host pushed over", v.pushed, fmt.Sprintf("%d commands too many", v.pushed)},
	} {
		if rule.n == 0 {
			fmt.Fprintf(out, "kept    %s\n", rule.what)
		} else {
			fmt.Fprintf(out, "BROKEN  %s: %s\n", rule.what, rule.how)
		}
	}
	for _, what := range v.wrong {
		fmt.Fprintf(out, "WRONG   %s\n", what)
	}
}
