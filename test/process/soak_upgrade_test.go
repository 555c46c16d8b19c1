package process

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/soak"
)

// TestSoakReplacesDaemons replaces daemons by those of another build, back and forth. Both builds are
// this one: to try an older one use rhubarbstub soak --former.
func TestSoakReplacesDaemons(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	t.Parallel()
	set := soak.Defaults()
	set.Seed = 2
	set.Former = filepath.Join(binaryDir, "rhubarbswitchd")
	report := runSoak(t, set)
	require.Equal(t, 8, report.Replacements, "of four daemons three are upgraded, two of these rolled back, then three upgraded")
	require.NotZero(t, report.Calls["chat 200"])
}
