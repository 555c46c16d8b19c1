package ctl

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/backend"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

func TestSecondDataCentreOutNeedsForce(t *testing.T) {
	f := newFixture(t)
	f.mustRun("datacentre", "out", "east")
	for _, extra := range []string{"--check", "--reason=snow"} {
		code, _, errOut := f.run("datacentre", "out", "west", extra)
		require.Equal(t, int(ExitNoCapacity), code)
		require.Contains(t, errOut, "data centre east is out already")
	}
	code, _, _ := f.run("get", "datacentre", "west")
	require.Equal(t, int(ExitNotFound), code, "nothing was written")
	f.mustRun("datacentre", "out", "west", "--force")
}

// TestLaterOfConcurrentOutsIsReverted guards against two data centres out of service at once:
// two operators each check that none is out, and then both write. The later write is reverted.
func TestLaterOfConcurrentOutsIsReverted(t *testing.T) {
	f := newFixture(t)
	env := &Env{Context: t.Context(), Backend: backend.NewPlatform(f.platform.URL)}
	require.NoError(t, checkNoOtherOut(env, "east"))
	require.NoError(t, checkNoOtherOut(env, "west"))
	east, west := &object.DataCentre{Out: true}, &object.DataCentre{Out: true}
	eastVersion, err := writeObject(env, "east", 0, east)
	require.NoError(t, err)
	westVersion, err := writeObject(env, "west", 0, west)
	require.NoError(t, err)

	require.NoError(t, revertIfLater(env, "east", eastVersion, east))
	err = revertIfLater(env, "west", westVersion, west)
	require.Equal(t, ExitConflict, exitCodeOf(err))
	others, err := otherCentresOut(env, "")
	require.NoError(t, err)
	require.Equal(t, []outCentre{{"east", eastVersion}}, others)
}
