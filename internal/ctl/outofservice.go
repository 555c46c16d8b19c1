package ctl

import (
	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/capacity"
	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/render"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// outFlags are the flags of the commands that take something out of service.
type outFlags struct {
	Check  bool   `help:"Only show whether today's work fits on what remains; change nothing."`
	Force  bool   `help:"Go on even if the work does not fit or can't be checked."`
	Reason string `help:"Why, for other operators."`
	WaitFlags
}

// checkCapacity shows what capacity remains and reports whether the command may write.
// evaluate computes the verdict from the daemon's status. If the work does not fit, or the
// status can't be read, the command writes only with --force. It never writes with --check.
func (f *outFlags) checkCapacity(env *Env, evaluate func(operatorapi.Status) capacity.Verdict) (bool, error) {
	status, err := env.Backend.Status(env.Context)
	if err == nil && status.Daemon == "" {
		err = failf(ExitUnreachable, "the capacity can only be read from a daemon: name one with --daemon")
	}
	if err != nil {
		if f.Force && !f.Check {
			env.Notef("capacity not checked, continuing because of --force: %v", err)
			return true, nil
		}
		return false, err
	}
	verdict := evaluate(status)
	if err := env.Print(verdict, func() *render.Table { return verdictTable(verdict) }); err != nil {
		return false, err
	}
	if !verdict.Fits && (f.Check || !f.Force) {
		return false, failf(ExitNoCapacity, "today's work does not fit on what remains: wait for less load, add capacity, or give --force")
	}
	return !f.Check, nil
}

func verdictTable(v capacity.Verdict) *render.Table {
	t := &render.Table{Header: []string{"KIND", "NAME", "SERVING", "REMAINING", "LIMIT", "IN FLIGHT", "FITS"}}
	for _, r := range v.Rows {
		t.Add(r.Kind, r.Name, r.Serving, r.Remaining, r.Limit, r.InFlight, render.YesNo(r.Fits))
	}
	return t
}

// reportAndAwait prints the accepted version of a change and, if the flags say so, waits until
// it is in force. If err is not nil, it returns err at once.
func (w *WaitFlags) reportAndAwait(env *Env, what string, version object.Version, err error) error {
	if err != nil {
		return err
	}
	env.Notef("%s accepted as version %d", what, version)
	return w.awaitInForce(env, version)
}

type dataCentreCommands struct {
	Out dataCentreOut `cmd:"" help:"Take a data centre out of service: it receives no new work, work in flight finishes."`
	In  dataCentreIn  `cmd:"" help:"Bring a data centre back; its load returns gradually."`
}

type dataCentreOut struct {
	Name string `arg:"" help:"Name of the data centre."`
	outFlags
}

// Run checks the capacity and takes the data centre out of service. Without --force it also
// refuses if another data centre is out.
func (c *dataCentreOut) Run(env *Env) error {
	value := &object.DataCentre{}
	read, err := readObject(env, c.Name, value)
	if err != nil {
		return err
	}
	goOn, err := c.checkCapacity(env, func(s operatorapi.Status) capacity.Verdict { return capacity.WithoutDataCentre(s, c.Name) })
	if err != nil {
		return err
	}
	if !c.Force || c.Check {
		if err := checkNoOtherOut(env, c.Name); err != nil {
			return err
		}
	}
	if !goOn {
		return nil
	}
	value.Out, value.Reason = true, c.Reason
	version, err := writeObject(env, c.Name, read, value)
	if err == nil && !c.Force {
		err = revertIfLater(env, c.Name, version, value)
	}
	return c.reportAndAwait(env, "data centre "+c.Name+" out", version, err)
}

type dataCentreIn struct {
	Name string `arg:"" help:"Name of the data centre."`
	WaitFlags
}

// Run brings the data centre back into service.
func (c *dataCentreIn) Run(env *Env) error {
	value := &object.DataCentre{}
	read, err := readObject(env, c.Name, value)
	if err != nil {
		return err
	}
	value.Out, value.Reason = false, ""
	version, err := writeObject(env, c.Name, read, value)
	return c.reportAndAwait(env, "data centre "+c.Name+" in", version, err)
}

type hostCommands struct {
	Out hostOut `cmd:"" help:"Take a host out of service; its group finishes what is in flight and takes a spare."`
	In  hostIn  `cmd:"" help:"Bring a host back as a spare."`
}

type hostOut struct {
	Name string `arg:"" help:"Name of the host."`
	outFlags
}

// Run checks the capacity and takes the host out of service.
func (c *hostOut) Run(env *Env) error {
	value := &object.Host{}
	read, err := readObject(env, c.Name, value)
	if err != nil {
		return err
	}
	goOn, err := c.checkCapacity(env, func(s operatorapi.Status) capacity.Verdict { return capacity.WithoutHost(s, c.Name) })
	if err != nil || !goOn {
		return err
	}
	value.Out, value.Reason = true, c.Reason
	version, err := writeObject(env, c.Name, read, value)
	return c.reportAndAwait(env, "host "+c.Name+" out", version, err)
}

type hostIn struct {
	Name string `arg:"" help:"Name of the host."`
	WaitFlags
}

// Run brings the host back into service.
func (c *hostIn) Run(env *Env) error {
	value := &object.Host{}
	read, err := readObject(env, c.Name, value)
	if err != nil {
		return err
	}
	value.Out, value.Reason = false, ""
	version, err := writeObject(env, c.Name, read, value)
	return c.reportAndAwait(env, "host "+c.Name+" in", version, err)
}
