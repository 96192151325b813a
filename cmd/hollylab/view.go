package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"

	"hollylever/fakes"
)

func ms(us int64) string { return fmt.Sprintf("%.1f", float64(us)/1000) }

// latencies is a table of how long answers took, by workload, over all clients.
func latencies(all []*fakes.Clients) string {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"workload", "answers", "median ms", "99%", "99.9%", "most"})
	for w, name := range fakes.Workloads {
		sum := merged(all, w)
		t.AppendRow(table.Row{name, sum.TotalCount(), ms(sum.ValueAtQuantile(50)), ms(sum.ValueAtQuantile(99)), ms(sum.ValueAtQuantile(99.9)), ms(sum.Max())})
	}
	return t.Render()
}

func merged(all []*fakes.Clients, workload int) *hdrhistogram.Histogram {
	sum := hdrhistogram.New(1, 120e6, 3)
	for _, c := range all {
		sum.Merge(c.Latency(workload))
	}
	return sum
}

// shows is the view while it runs: lines that are written over in a terminal, one line at a time elsewhere.
func shows(out io.Writer, live bool) func(time.Duration, *town, []*fakes.Clients) {
	before, height := fakes.ClientFigures{}, 0
	last := time.Duration(0)
	return func(since time.Duration, w *town, all []*fakes.Clients) {
		var now fakes.ClientFigures
		for _, c := range all {
			f := c.Figures()
			now.Asked += f.Asked
			now.Settled += f.Settled
			now.Dismissed += f.Dismissed
			now.GivenUp += f.GivenUp
			now.Late += f.Late + f.Door + f.Wrong
		}
		span := max(since-last, time.Millisecond).Seconds()
		rate := func(a, b int) string { return fmt.Sprintf("%.0f/s", float64(a-b)/span) }
		reads := merged(all, 0)
		line := fmt.Sprintf("%5.1f s  settled %s  dismissed %s  given up %s  lost %d  reads: median %s ms, 99%% %s ms", since.Seconds(), rate(now.Settled, before.Settled),
			rate(now.Dismissed, before.Dismissed), rate(now.GivenUp, before.GivenUp), now.Late, ms(reads.ValueAtQuantile(50)), ms(reads.ValueAtQuantile(99)))
		before, last = now, since
		if !live {
			fmt.Fprintln(out, line)
			return
		}
		t := table.NewWriter()
		t.SetStyle(table.StyleLight)
		t.AppendHeader(table.Row{"host", "commands", "kept keys", "started"})
		for _, h := range w.hosts {
			f, started := h.Figures(), "long ago"
			if !f.Started.IsZero() {
				started = fmt.Sprintf("%.0f s ago", time.Since(f.Started).Seconds())
			}
			t.AppendRow(table.Row{h.Name, f.Requests, f.CachedKeys, started})
		}
		doors := table.NewWriter()
		doors.SetStyle(table.StyleLight)
		doors.AppendHeader(table.Row{"balancer", "trips", "open", "hosts", "avoided", "settled", "dismissed", "given up"})
		for n, figures := range w.doors() {
			sum := [3]int{}
			for _, name := range fakes.Workloads {
				for i, how := range []string{"success", "overload", "error"} {
					sum[i] += figures["replies."+name+"."+how]
				}
			}
			doors.AppendRow(table.Row{fmt.Sprint("n", n+1), figures["dispatches"], figures["concurrent"], figures["targets"], figures["targets_disabled"],
				sum[0], sum[1], sum[2]})
		}
		text := doors.Render() + "\n" + latencies(all) + "\n" + t.Render() + "\n" + line + "\n"
		if height > 0 {
			fmt.Fprintf(out, "\x1b[%dA\x1b[J", height) // Over the one before.
		}
		height = strings.Count(text, "\n")
		fmt.Fprint(out, text)
	}
}
