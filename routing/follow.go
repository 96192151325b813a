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
	silence  = 5 * time.Second // a watch that says nothing for so long is taken for broken; it should every 2 s
	mostList = 4 << 20         // bytes of one line
)

// Follow watches the list at discovery whenever the module wants that. A watch that ends is told as failed; the
// module says when to ask again.
func (b *Balancer) Follow(ctx context.Context, discovery string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: silence, KeepAlive: -1}).DialContext}}
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.follow:
		}
		err := b.watch(ctx, client, discovery)
		if ctx.Err() != nil {
			return
		}
		if !b.failing {
			b.log.Warn().Err(err).Msg("list lost")
		}
		b.failing = true
		b.mu.Lock()
		b.counts["lists_failed"]++
		b.module.Listing(b.now(), choice.Failed)
		b.module.Listed(b.now())
		b.mu.Unlock()
	}
}

// watch follows the list until that breaks, and says why it did.
func (b *Balancer) watch(ctx context.Context, client *http.Client, discovery string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(silence, func() { cancel(errors.New("discovery is silent")) })
	defer quiet.Stop()
	at := fmt.Sprintf("http://%s/catalog/members?follow=1&since=%d", discovery, b.index)
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
			if err := b.tell(line, false); err != nil {
				return err
			}
		}
		if b.failing {
			b.failing = false
			b.log.Info().Uint64("index", b.index).Msg("list followed again")
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	return io.ErrUnexpectedEOF
}
