package server

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"hollylever/fields"
	"hollylever/fleetconfig"
)

const proposalFor = 8 * time.Second // a door owes its answer to one in six

// stands is what the commands show of a door's answer; --json shows all of it.
type stands struct {
	Name   string `json:"name"`
	Leads  string `json:"leads"`
	T      string `json:"t"`
	Lease  int64  `json:"lease_left_ms"`
	Alone  int64  `json:"decisions_alone"`
	Acting struct {
		Floor, Latest uint64
		Leased        bool
		Bans          []string         `json:"bans"`
		Limits        map[string]int64 `json:"limits"`
		Part          float64
	} `json:"acting"`
	Tends []string
	Zones []struct {
		// These four keys stand so in the answer of zones list --json, and match the door's lower-case ones.
		Zone    string  `json:"Zone"`
		Hosts   int     `json:"Hosts"`
		Failing int     `json:"Failing"`
		Own     bool    `json:"Own"`
		ByHand  bool    `json:"left_by_hand"`
		Fails   bool    `json:"left_as_it_fails"`
		Part    float64 `json:"part_away"`
	}
	Signals *struct {
		Told, Taken, Lost int
		Hosts             []struct {
			Host      string
			Witnesses int
			Zones     int
			Runs      int `json:"failures_in_a_row"`
			Own       int `json:"own_failures_in_a_row"`
			Heeded    bool
			Turn      bool
			Part      float64
			For       int64 `json:"for_ms"`
		}
	}
	News    []string `json:"drains_by_others"`
	Members []struct {
		Name   string `json:"name"`
		Zone   string `json:"zone"`
		Keeper bool   `json:"keeper"`
		Leads  bool   `json:"leads"`
		Leased bool   `json:"leased"`
		Floor  uint64 `json:"floor"`
		Latest uint64 `json:"latest"`
		Index  uint64 `json:"list_index"`
		Ago    int64  `json:"heard_ms_ago"`
		Gone   bool   `json:"gone"`
	} `json:"members"`
}

type version struct {
	Number   uint64          `json:"version"`
	By       string          `json:"by"`
	Why      string          `json:"why"`
	Document json.RawMessage `json:"document"`
}

func fleetCommand() *cobra.Command {
	a := &asker{}
	c := &cobra.Command{Use: "fleet", Short: "See who is in the fleet and what each acts on; propose to it", Args: cobra.NoArgs}
	a.flags(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, text, err := a.fleet()
		if a.asJSON && text != "" {
			fmt.Fprint(c.OutOrStdout(), text)
			return nil
		}
		if err != nil {
			return err
		}
		under := fmt.Sprintf("under a lease for %d ms", s.Lease)
		if !s.Acting.Leased {
			under = "alone: cut off from the majority"
		}
		fmt.Fprintf(c.OutOrStdout(), "%s acts on versions %d to %d, %s; %s leads; T %s; %d decisions alone\n", printable(s.Name), s.Acting.Floor, s.Acting.Latest, under,
			printable(or(s.Leads, "nobody known")), s.T, s.Alone)
		fmt.Fprintf(c.OutOrStdout(), "out: %s; limits: %v; out by others' lists: %s\n", printable(or(strings.Join(s.Acting.Bans, " "), "none")), s.Acting.Limits,
			printable(or(strings.Join(s.News, " "), "none")))
		out := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(out, "MEMBER\tZONE\tPART\tVERSIONS\tLEASE\tLIST\tHEARD")
		for _, m := range s.Members {
			part, lease, heard := "-", "alone", fmt.Sprintf("%d ms ago", m.Ago)
			if m.Keeper {
				part = "keeper"
			}
			if m.Leads {
				part = "leads"
			}
			if m.Leased {
				lease = "leased"
			}
			if m.Gone {
				lease, heard = "?", "gone, "+heard
			}
			fmt.Fprintf(out, "%s\t%s\t%s\t%d-%d\t%s\t%d\t%s\n", printable(m.Name), printable(or(m.Zone, "-")), part, m.Floor, m.Latest, lease, m.Index, heard)
		}
		if err := out.Flush(); err != nil {
			return err
		}
		if s.Acting.Part > 0 {
			fmt.Fprintf(c.OutOrStdout(), "part of the fleet's budgets: %.1f%%\n", 100*s.Acting.Part)
		}
		if len(s.Tends) > 0 {
			fmt.Fprintf(c.OutOrStdout(), "keeps idle connections to %d hosts: %s\n", len(s.Tends), printable(strings.Join(s.Tends, " ")))
		}
		if s.Signals == nil {
			return nil
		}
		fmt.Fprintf(c.OutOrStdout(), "signals: %d told, %d taken, %d lost\n", s.Signals.Told, s.Signals.Taken, s.Signals.Lost)
		if len(s.Signals.Hosts) > 0 {
			fmt.Fprintln(out, "HOST\tFAILS FOR\tZONES\tIN A ROW\tHERE\tHERE IT IS")
			for _, h := range s.Signals.Hosts {
				is := "used"
				switch {
				case h.Heeded && h.Turn:
					is = fmt.Sprintf("left for %d ms; this one has the turn to try it", h.For)
				case h.Heeded && h.Part > 0:
					is = fmt.Sprintf("left for %d ms", h.For)
				case h.Heeded:
					is = "used again, or not left yet"
				}
				fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%s\n", printable(h.Host), h.Witnesses, h.Zones, h.Runs, h.Own, is)
			}
		}
		return out.Flush()
	}
	propose := &cobra.Command{Use: "propose FILE", Short: "Propose what a file (TOML) has, and wait for the majority's answer", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			text, err := fields.Whole(files[0])
			if err != nil {
				return coded{fmt.Errorf("%s: %w", files[0], err), exitMistake}
			}
			p, wrong := fleetconfig.ParseProposal(files[0], text)
			for _, m := range wrong {
				fmt.Fprintln(c.OutOrStdout(), m)
			}
			if len(wrong) > 0 {
				return coded{errTold, exitMistake}
			}
			return a.propose(c, p)
		}}
	history := &cobra.Command{Use: "history", Short: "Show the versions that this process knows", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		text, err := a.call(http.MethodGet, "/fleet/history")
		if err != nil {
			return err
		}
		if a.asJSON {
			fmt.Fprint(c.OutOrStdout(), text)
			return nil
		}
		var all []version
		if json.Unmarshal([]byte(text), &all) != nil {
			return a.nonsense()
		}
		for _, v := range all {
			var flat bytes.Buffer
			if json.Compact(&flat, v.Document) != nil {
				return a.nonsense()
			}
			fmt.Fprintf(c.OutOrStdout(), "%d  %s  %s  %s\n", v.Number, printable(or(v.By, "-")), printable(or(v.Why, "-")), printable(flat.String()))
		}
		return nil
	}}
	c.AddCommand(propose, history)
	return c
}

// fleet asks how the fleet stands: what the commands show of it, and all that the door says.
func (a *asker) fleet() (s stands, text string, err error) {
	if text, err = a.call(http.MethodGet, "/fleet"); err == nil && json.Unmarshal([]byte(text), &s) != nil {
		err = a.nonsense()
	}
	return s, text, err
}

func or(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

// propose sends a proposal and says what became of it: a no that is sure is one, for good.
func (a *asker) propose(c *cobra.Command, p fleetconfig.Proposal) error {
	p.ID = rand.Text()
	if p.Author == "" {
		p.Author = or(os.Getenv("USER"), "unnamed")
	}
	body, err := json.Marshal(p)
	if err != nil {
		return coded{err, exitMistake}
	}
	text, err := a.callWith(http.MethodPost, "/fleet/propose", body, proposalFor)
	if err != nil {
		return err
	}
	var o fleetconfig.ProposalResult
	if json.Unmarshal([]byte(text), &o) != nil {
		return a.nonsense()
	}
	if a.asJSON {
		if err := say(c, o); err != nil {
			return err
		}
	}
	switch {
	case o.Revision != 0:
		if !a.asJSON {
			fmt.Fprintf(c.OutOrStdout(), "accepted: version %d\n", o.Revision)
		}
		return nil
	case o.IsFinal:
		return coded{fmt.Errorf("no: %s", printable(o.Reason)), exitNo}
	}
	return coded{fmt.Errorf("unknown: %s (hollylever fleet history)", printable(o.Reason)), exitNo}
}
