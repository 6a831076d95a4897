package attributiontest

import "testing"

// Each trouble is named for what it is, and each account sums exactly. Totals are
// compared loosely here, as the race detector slows the way between client and
// gateway; `chalkstand drill` holds them to Tolerance.
func TestDrills(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			s.tolerance = 0.25
			r, err := Run(s, 1, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range r.Faults {
				t.Error(f)
			}
			t.Logf("totals at most %.1f %% off; %d volumes", 100*r.Worst, len(r.Volumes))
		})
	}
}
