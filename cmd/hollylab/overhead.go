package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"hollylever/fakes"
)

// lap is what came of asking over so many connections for a while, each with one retrieval out at a time.
type lap struct {
	answers   int64
	dismissed int64
	took      *hdrhistogram.Histogram // microseconds
	cpu       time.Duration           // of the balancer
}

// around asks over and over. Who is asked is known to answer at once: what it takes is the way.
func around(ctx context.Context, to string, connections, lapNumber int, over time.Duration) (lap, error) {
	l := lap{took: hdrhistogram.New(1, 60e6, 3)}
	var mu sync.Mutex
	var all sync.WaitGroup
	var failed atomic.Pointer[error]
	var dismissed atomic.Int64
	end := time.Now().Add(over)
	for n := range connections {
		all.Go(func() {
			c, err := net.Dial("tcp", to)
			if err != nil {
				failed.Store(&err)
				return
			}
			defer c.Close()
			c.SetDeadline(end.Add(5 * time.Second))
			in, own := bufio.NewReader(c), hdrhistogram.New(1, 60e6, 3)
			for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
				began := time.Now()
				_, err := c.Write([]byte(fakes.EncodeCommand("C.GET", fmt.Sprintf("%016x", i%500+1), fmt.Sprintf("%x-%x-%x", lapNumber, n, i), "c=read,d=3000")))
				if err == nil {
					var answer []string
					switch answer, err = fakes.ReadMessage(in); {
					case err != nil:
					case len(answer) == 0 || strings.HasPrefix(answer[0], "-ERR"):
						err = fmt.Errorf("the answer is %q", answer)
					case strings.HasPrefix(answer[0], "-BUSY"): // A balancer may turn away; it has not gone the way.
						dismissed.Add(1)
						continue
					}
				}
				if err != nil {
					failed.Store(&err)
					return
				}
				_ = own.RecordValue(max(1, time.Since(began).Microseconds()))
			}
			mu.Lock()
			l.took.Merge(own)
			mu.Unlock()
		})
	}
	all.Wait()
	l.answers, l.dismissed = l.took.TotalCount(), dismissed.Load()
	if err := failed.Load(); err != nil {
		return l, *err
	}
	return l, nil
}

func overheadCommand() *cobra.Command {
	var named string
	var over time.Duration
	var core int
	var connections []int
	c := &cobra.Command{Use: "overhead", Short: "What a balancer adds to the way to a host, against the same load straight at it", Args: cobra.NoArgs}
	c.Flags().StringVar(&named, "hollylever", "", "the program; else the one beside hollylab, or on the path")
	c.Flags().DurationVar(&over, "for", 5*time.Second, "how long each of them")
	c.Flags().IntVar(&core, "core", -1, "the core that the balancer runs on; -1: any")
	c.Flags().IntSliceVar(&connections, "connections", []int{1, 16, 128}, "how many clients, each with one retrieval out")
	c.RunE = func(c *cobra.Command, _ []string) error {
		program, err := hollylever(named)
		if err != nil {
			return coded{err, exitMistake}
		}
		if over < 100*time.Millisecond || over > 10*time.Minute {
			return errors.New("--for: not from 100ms to 10m")
		}
		folder, err := os.MkdirTemp("", "hollylab-")
		if err != nil {
			return coded{err, exitMistake}
		}
		defer func() { _ = os.RemoveAll(folder) }()
		h, err := fakes.NewHost("s", fakes.NewOrigin(0, 256), fakes.HostOptions{Concurrency: 256, QueueLength: 1024})
		if err != nil {
			return coded{err, exitMistake}
		}
		defer h.Close()
		d := fakes.NewDiscovery()
		defer d.Close()
		d.UpdateEntries(map[string]string{"s": fakes.Entry("s", h.Address, "Ready")})
		p, err := fakes.NewPlatform(folder, fakes.Setup{Known: d.FullList(), Discovery: d.Address, Limits: fakes.Limits{Cores: 1, MemoryMB: 192, Sockets: 2048},
			Core: core, Program: program})
		if err != nil {
			return coded{err, exitMistake}
		}
		defer p.Close()
		s, err := p.Start()
		if err != nil {
			return coded{err, exitMistake}
		}
		defer s.Kill()
		t := table.NewWriter()
		t.SetStyle(table.StyleLight)
		t.AppendHeader(table.Row{"connections", "median", "99%", "99.9%", "answers a second", "CPU us a retrieval", "dismissed"})
		for n, many := range connections {
			if many < 1 || many > 512 {
				return fmt.Errorf("--connections: %d is not from 1 to 512", many)
			}
			var laps [2]lap // Straight, and by way of the balancer, in turns: the machine is the same for both.
			for i := range laps {
				laps[i].took = hdrhistogram.New(1, 60e6, 3)
			}
			for turn := range 4 {
				before := s.CPU()
				one, err := around(c.Context(), []string{h.Address, p.Address}[turn%2], many, n*10+turn, over/2)
				if err != nil {
					return coded{fmt.Errorf("%d connections: %w", many, err), exitMistake}
				}
				laps[turn%2].took.Merge(one.took)
				laps[turn%2].answers += one.answers
				laps[turn%2].dismissed += one.dismissed
				laps[turn%2].cpu += s.CPU() - before
			}
			ratio := func(q float64) string {
				return fmt.Sprintf("%.2f (%s ms of %s)", float64(laps[1].took.ValueAtQuantile(q))/float64(max(1, laps[0].took.ValueAtQuantile(q))),
					strconv.FormatFloat(float64(laps[1].took.ValueAtQuantile(q))/1000, 'f', 2, 64), strconv.FormatFloat(float64(laps[0].took.ValueAtQuantile(q))/1000, 'f', 2, 64))
			}
			t.AppendRow(table.Row{many, ratio(50), ratio(99), ratio(99.9), fmt.Sprintf("%.2f", float64(laps[1].answers)/float64(max(1, laps[0].answers))),
				fmt.Sprintf("%.0f", float64(laps[1].cpu.Microseconds())/float64(max(1, laps[1].answers))), laps[1].dismissed})
		}
		fmt.Fprintf(c.OutOrStdout(), "by way of a balancer, against straight at the host:\n%s\n", t.Render())
		return nil
	}
	return c
}
