package main

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/cutter"
)

// startPlain starts daemons before two plain services, each with a route for all paths of a host of its own.
func startPlain(g *rig, daemons int) error {
	other := route("orders", "/", "non_idempotent", "orders")
	other["host"] = otherHost
	g.configure(1, []string{"records", "orders"}, route("records", "/", "idempotent", "records"), other)
	for i := range 3 {
		for _, service := range []string{"records", "orders"} {
			if err := g.addServer(fmt.Sprintf("%s-%d", service, i), service); err != nil {
				return err
			}
		}
	}
	for range daemons {
		if err := g.addDaemon(); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // until the daemons know each other
	return nil
}

const otherHost = "orders.example"

// otherService sends requests to a daemon whose paths to all servers are cut for some seconds, so that it hands
// them over to others. Their path begins with two slashes, of which the second begins an empty segment's end.
func otherService(g *rig, trouble bool) (int, error) {
	if err := startPlain(g, 3); err != nil {
		return couldnt, err
	}
	d, code := g.daemons[0], held
	if trouble {
		g.rec.add("%s is cut off from all servers: connections are reset, new ones refused", d.name)
		if err := d.view.CutServers(cutter.Cut{Existing: cutter.Reset, New: cutter.Reset}, cutter.Refusing); err != nil {
			return couldnt, err
		}
	}
	served := 0
	for n := range 10 {
		for _, target := range []string{fmt.Sprintf("/%s/%d", otherHost, n), fmt.Sprintf("//%s/%d", otherHost, n)} {
			id := fmt.Sprintf("r%d-%d", n, strings.Count(target, "/"))
			if a := g.send(d, "GET", target, id, "", ""); a.status == 200 {
				served++
			}
			for _, r := range g.runsOf(id) {
				if r.service != "records" {
					g.rec.add("%s, sent to host %s, was run by service %s as %s of host %s", id, clientHost, r.service, r.target, r.host)
					code = broken
				}
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	if served == 0 {
		return couldnt, errors.New("no request was served")
	}
	return code, nil
}

// originForm returns the path and query for which a request target asks. A target in absolute form has a host
// before them (RFC 9112, 3.2.2).
func originForm(target string) string {
	if u, err := url.Parse(target); err == nil && u.IsAbs() {
		return u.RequestURI()
	}
	return target
}
