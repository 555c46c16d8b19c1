package ctl

import (
	"fmt"
	"runtime/debug"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/render"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

type statusCommand struct{}

// Run shows the status of the system as one daemon knows it.
func (*statusCommand) Run(env *Env) error {
	s, err := env.Backend.Status(env.Context)
	if err != nil {
		return err
	}
	if env.Output == render.FormatJSON {
		return render.JSON(env.Out, s)
	}
	_, _ = fmt.Fprintf(env.Out, "cluster %s, told by %s (%s): ready %s, platform reachable %s, applied revision %d\n",
		s.Cluster, s.Daemon, s.Incarnation, readiness(s), render.YesNo(s.PlatformReachable), s.Applied)
	for _, t := range []*render.Table{daemonTable(s), leaseTable(s)} {
		_, _ = fmt.Fprintln(env.Out)
		if err := t.WriteText(env.Out); err != nil {
			return err
		}
	}
	return writeTargetTables(env, s.Groups, s.Services)
}

func readiness(s operatorapi.Status) string {
	if s.Reason != "" {
		return render.YesNo(s.Ready) + " (" + s.Reason + ")"
	}
	return render.YesNo(s.Ready)
}

func writeTargetTables(env *Env, groups []operatorapi.GroupStatus, services []operatorapi.ServiceStatus) error {
	for _, t := range []*render.Table{groupTable(groups), serviceTable(services)} {
		if len(t.Rows) == 0 {
			continue
		}
		_, _ = fmt.Fprintln(env.Out)
		if err := t.WriteText(env.Out); err != nil {
			return err
		}
	}
	return nil
}

func daemonTable(s operatorapi.Status) *render.Table {
	t := &render.Table{Header: []string{"DAEMON", "DATA CENTRE", "APPLIED", "LINKED", "LEAVING", "HEARD AGO", "API"}}
	for _, d := range s.Daemons {
		t.Add(d.Name, d.DataCentre, d.Applied, render.YesNo(d.Linked), render.YesNo(d.Leaving), render.Age(d.AgeMillis), d.API)
	}
	return t
}

func leaseTable(s operatorapi.Status) *render.Table {
	t := &render.Table{Header: []string{"DOMAIN", "HOLDER", "FENCE", "RENEWED AGO"}}
	for _, l := range s.Leases {
		t.Add(l.Domain, l.Holder, l.Fence, render.Age(l.AgeMillis))
	}
	return t
}

func groupTable(groups []operatorapi.GroupStatus) *render.Table {
	t := &render.Table{Header: []string{"GROUP", "MODEL", "DOMAIN", "DATA CENTRE", "GENERATION", "SERVING", "COLD", "LIMIT", "IN FLIGHT", "MEMBERS", "REASON"}}
	for _, g := range groups {
		t.Add(g.Name, g.Model, g.Domain, g.DataCentre, g.Generation, render.YesNo(g.Serving), render.YesNo(g.Cold),
			g.Limit, g.InFlight, strings.Join(g.Members, ","), g.Reason)
	}
	return t
}

func serviceTable(services []operatorapi.ServiceStatus) *render.Table {
	t := &render.Table{Header: []string{"SERVICE", "HOST", "DATA CENTRE", "SERVING", "COLD", "LIMIT", "IN FLIGHT", "REASON"}}
	for _, s := range services {
		t.Add(s.Service, s.Host, s.DataCentre, render.YesNo(s.Serving), render.YesNo(s.Cold), s.Limit, s.InFlight, s.Reason)
	}
	return t
}

type traceCommand struct {
	Request string `arg:"" help:"ID of the request, as the answer's X-Request-Id header gives it."`
}

// Run shows the events that all daemons have recorded for a request.
func (c *traceCommand) Run(env *Env) error {
	trace, err := env.Backend.Trace(env.Context, c.Request)
	if err != nil {
		return err
	}
	if len(trace.Events) == 0 {
		return failf(ExitNotFound, "no daemon has events of request %q: search the logs, daemons keep events of recent requests only", c.Request)
	}
	return env.Print(trace, func() *render.Table {
		t := &render.Table{Header: []string{"TIME", "DAEMON", "EVENT", "MESSAGE", "FIELDS"}}
		for _, e := range trace.Events {
			t.Add(time.UnixMilli(e.UnixMillis).UTC().Format("15:04:05.000"), e.Daemon, e.Event, e.Message, fieldText(e.Fields))
		}
		return t
	})
}

func fieldText(fields []operatorapi.TraceField) string {
	parts := make([]string, len(fields))
	for i, f := range fields {
		parts[i] = f.Key + "=" + f.Value
	}
	return strings.Join(parts, " ")
}

type versionCommand struct{}

// buildInfo is the version of this program, from the build information in the binary.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"` // commit from which it was built
	Go       string `json:"go"`                 // Go release with which it was built
}

// Run shows the version of this program.
func (*versionCommand) Run(env *Env) error {
	r := buildInfo{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		r.Version, r.Go = info.Main.Version, info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				r.Revision = s.Value
			}
		}
	}
	return env.Print(r, func() *render.Table {
		t := &render.Table{Header: []string{"VERSION", "REVISION", "GO"}}
		t.Add(r.Version, r.Revision, r.Go)
		return t
	})
}
