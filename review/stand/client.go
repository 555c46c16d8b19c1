package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// result is what a client saw of one request.
type result struct {
	id, daemon string
	sentAt     time.Time
	endedAt    time.Time
	status     int // 0: no complete answer
	stamp      string
	whole      bool
	err        error
}

// client sends requests to daemons over kept connections.
type client struct {
	world   *world
	http    *http.Client
	mu      sync.Mutex
	results []result
	pending sync.WaitGroup
}

func newClient(w *world) *client {
	return &client{world: w, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true, IdleConnTimeout: 12 * time.Second}}}
}

// send sends one request and waits for its answer.
func (c *client) send(d *daemon, method, path string, deadline time.Duration, payload []byte) result {
	w := c.world
	res := result{id: fmt.Sprintf("%016x", 0x9c41000000000000+uint64(w.lastID.Add(1))), daemon: d.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	w.note("client sends %s %s to %s", method, res.id, d.name)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+path, bytes.NewReader(payload))
	if err == nil {
		req.GetBody = nil
		req.Host = hostName
		req.Header.Set("X-Request-Id", res.id)
		req.Header.Set("X-Credential", clientKey)
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
		var resp *http.Response
		if resp, err = c.http.Do(req); err == nil {
			var got []byte
			got, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err == nil {
				res.status, res.stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
				res.whole = res.status != http.StatusOK || bytes.Equal(got, body(res.id, len(got))) && len(got) > 0
			}
		}
	}
	res.err, res.endedAt = err, time.Now()
	w.note("client has of %s: status %d stamp %q whole %v error %v", res.id, res.status, res.stamp, res.whole, err)
	c.mu.Lock()
	c.results = append(c.results, res)
	c.mu.Unlock()
	return res
}

// load sends requests at a rate to a daemon until the context ends.
func (c *client) load(ctx context.Context, d *daemon, perSecond float64, method, path string, deadline time.Duration, payload []byte) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		for sleepContext(ctx, time.Duration(rand.ExpFloat64()/perSecond*float64(time.Second))) {
			c.pending.Add(1)
			go func() {
				defer c.pending.Done()
				c.send(d, method, path, deadline, payload)
			}()
		}
	}()
}

// counts summarizes the results.
func (c *client) counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := make(map[string]int)
	for _, r := range c.results {
		n[r.daemon+" "+strconv.Itoa(r.status)]++
	}
	return n
}
