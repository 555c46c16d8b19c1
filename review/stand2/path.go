package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// changedPath sends requests whose path begins with two slashes on a route with the prefix "/".
func changedPath(w *world, trouble bool) (string, error) {
	var err error
	if w.site, err = site.New(site.Timing{StallTimeout: 5 * time.Second}); err != nil {
		return "", err
	}
	for z, zone := range zones {
		if _, err := w.site.Add(fmt.Sprintf("i-%d", z), site.Ledger, zone, ""); err != nil {
			return "", err
		}
	}
	w.site.Store.Put("config", "main", map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "all", "host": site.Host, "pathPrefix": "/", "type": "non_idempotent", "timeoutMs": 2500, "goalMs": 150, "priority": 1, "service": site.Ledger, "maxAttempts": 2}},
		"services": []map[string]any{{"name": site.Ledger, "healthPath": "/healthz", "maxConns": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": site.Team, "apiKeys": []string{site.Key}, "priority": 1}},
	})
	d, err := w.addDaemon(w.site.Store.Address)
	if err != nil {
		return "", err
	}
	ctx, stop := context.WithTimeout(context.Background(), 60*time.Second)
	defer stop()
	send := func(id, path string) load.FrontedAnswer {
		a := w.caller.Send(ctx, d.callers(), load.FrontedCall{Method: http.MethodPost, Host: site.Host, Path: path, Body: "body of " + id, Header: header(id, 2500*time.Millisecond)})
		w.record.line("sent %s: POST %s: status %d %q", id, path, a.Status, a.Body)
		return a
	}
	if !waitFor(15*time.Second, func() bool { return send("warm", "/warm").Status == http.StatusOK }) {
		return "", fmt.Errorf("the deployment does not serve")
	}
	sent := make(map[string]string)
	for n := range 10 {
		id, path := fmt.Sprintf("entry-%d", n), fmt.Sprintf("/ropes/log/%d", n)
		if trouble {
			path = "/" + path
		}
		sent[id] = path
		send(id, path)
	}
	var broken []string
	for _, r := range w.site.Runs() {
		if r.Request != "warm" {
			w.record.line("%s runs %s: %s %s", r.Server, r.Request, r.Method, r.Path)
			if r.Path != sent[r.Request] {
				broken = append(broken, fmt.Sprintf("%s ran %s with the path %s, sent with %s", r.Server, r.Request, r.Path, sent[r.Request]))
			}
		}
	}
	return strings.Join(broken, "; "), nil
}
