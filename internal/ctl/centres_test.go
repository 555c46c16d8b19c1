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

// TestLaterOfTwoRacingOutsYields lets two operators take two data centres out after
// both have seen none out.
func TestLaterOfTwoRacingOutsYields(t *testing.T) {
	f := newFixture(t)
	env := &Env{Context: t.Context(), Backend: backend.NewPlatform(f.platform.URL)}
	require.NoError(t, onlyOneOut(env, "east"))
	require.NoError(t, onlyOneOut(env, "west"))
	east, west := &object.DataCentre{Out: true}, &object.DataCentre{Out: true}
	eastVersion, err := write(env, "east", 0, east)
	require.NoError(t, err)
	westVersion, err := write(env, "west", 0, west)
	require.NoError(t, err)

	require.NoError(t, yield(env, "east", eastVersion, east))
	err = yield(env, "west", westVersion, west)
	require.Equal(t, ExitConflict, exitCodeOf(err))
	others, err := otherCentresOut(env, "")
	require.NoError(t, err)
	require.Equal(t, []outCentre{{"east", eastVersion}}, others)
}
