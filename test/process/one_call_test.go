package process

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
)

// TestRepeatedKeyedCallRunsOnce sends one keyed call twice through one daemon. Both answers
// must be the completed one, and the key must run once.
func TestRepeatedKeyedCallRunsOnce(t *testing.T) {
	c := newCluster(t)
	c.putContract()
	c.addServices(1, []string{"a"})
	d := c.addDaemon("a", nil)
	c.waitServing(1)
	caller := load.NewCaller(callerKey, 5*time.Second)
	defer caller.Close()
	key, err := uuid.NewV7()
	require.NoError(t, err)
	call := load.Call{Service: serviceName, Method: "POST", Path: "/new", Key: key.String(), Body: []byte(`{"n":1}`)}
	for range 2 {
		result := caller.Call(context.Background(), d.callersAddress, call)
		require.NoError(t, result.Err)
		require.Equal(t, 200, result.Status, result.Code)
		require.Equal(t, object.Completed, result.Outcome)
		require.True(t, result.Complete)
		require.False(t, result.Wrong)
	}
	runs, _ := c.runsByKey()
	require.EqualValues(t, 1, runs[key.String()])
	d.terminate()
	require.Zero(t, d.waitExit(waitTimeout))
}
