package gateway

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// orderPlatform counts the orders that it carries out.
type orderPlatform struct {
	*testPlatform
	orders int
}

func (p *orderPlatform) Order(context.Context, step.SendGroupOrder) step.OrderOutcome {
	p.orders++
	return step.OrderAccepted
}

// TestOrderIsNotSentAfterItsLease guards against orders of a daemon that stood still while another took over the lease.
func TestOrderIsNotSentAfterItsLease(t *testing.T) {
	now := time.Duration(0)
	p := &orderPlatform{testPlatform: &testPlatform{}}
	set := config.DefaultGateway()
	set.Daemon, set.DataCentre = "daemon", "dc"
	d, err := New(set, slog.New(slog.DiscardHandler), p, func() time.Duration { return now })
	require.NoError(t, err)
	order := step.SendGroupOrder{Op: 1, Host: "h", Order: step.GroupOrder{Kind: step.OrderOpen}, Until: 2 * time.Second}
	now = 2*time.Second - 1
	require.Equal(t, step.GroupOrderAnswered{Op: 1, Host: "h", Outcome: step.OrderAccepted}, d.sendOrder(t.Context(), order))
	now = 2 * time.Second
	require.Equal(t, step.GroupOrderAnswered{Op: 1, Host: "h", Outcome: step.OrderExpired}, d.sendOrder(t.Context(), order))
	require.Equal(t, 1, p.orders)
}
