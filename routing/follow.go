package routing

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"hollylever/choice"
)

const (
	silence  = 3500 * time.Millisecond // a watch that says nothing for so long is taken for broken; it should every 2 s
	mostList = 4 << 20                 // bytes of one line

	connectFor = 2 * time.Second // for the connection to discovery
)

var errMoved = errors.New("discovery has moved")

// Follow watches the list at discovery whenever the module wants that. A watch that ends is told as failed; the
// module says when to ask again.
func (b *Balancer) Follow(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: connectFor, KeepAlive: -1}).DialContext}}
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.follow:
		}
		watching, letGo := context.WithCancelCause(ctx)
		b.mu.Lock()
		discovery, index := b.discovery, b.index
		b.letGo = letGo
		b.mu.Unlock()
		err := b.watch(watching, letGo, client, discovery, index)
		letGo(nil)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(context.Cause(watching), errMoved) {
			continue // No failure, and asked for again already.
		}
		if !b.failing {
			b.log.Warn().Err(err).Msg("list lost")
		}
		b.failing = true
		b.mu.Lock()
		b.counts[count{"lists_failed", none}]++
		b.module.Listing(b.now(), choice.Failed)
		b.module.Listed(b.now())
		b.mu.Unlock()
	}
}

// Move follows the list at another address from now on. The old watch is let go at once: it may stay open for a
// while and tell nothing more.
func (b *Balancer) Move(discovery string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.discovery, b.index = discovery, 0 // Another discovery may count its lists in its own way.
	b.letGo(errMoved)
	b.module.Listing(b.now(), choice.Incremental) // Failures at the old address must not delay the new one.
	b.module.Listed(b.now())
	b.Subscribe()
}

// watch follows the list until that breaks, and says why it did.
func (b *Balancer) watch(ctx context.Context, letGo context.CancelCauseFunc, client *http.Client, discovery string,
	index uint64) error {
	quiet := time.AfterFunc(silence, func() { letGo(errors.New("discovery is silent")) })
	defer quiet.Stop()
	at := fmt.Sprintf("http://%s/catalog/members?follow=1&since=%d", discovery, index)
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return err
	}
	answer, err := client.Do(call)
	if err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", answer.Status)
	}
	lines := bufio.NewScanner(answer.Body)
	lines.Buffer(nil, mostList)
	for lines.Scan() {
		quiet.Reset(silence)
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			if err := b.tell(ctx, line, false); err != nil {
				return err
			}
		}
		if b.failing {
			b.failing = false
			b.log.Info().Str("discovery", discovery).Msg("list followed again")
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	return io.ErrUnexpectedEOF
}
