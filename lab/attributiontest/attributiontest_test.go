package attributiontest

import "testing"

// Each fault's cause is named, and the components of each request sum exactly. Totals are compared with a
// larger tolerance here, as the race detector slows the path between client and gateway;
// `chalkstand attribution-test` checks them against Tolerance.
func TestScenarios(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			s.tolerance = 0.25
			r, err := Run(t.Context(), s, 1, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range r.Failures {
				t.Error(f)
			}
			t.Logf("totals at most %.1f %% off; %d volumes", 100*r.MaxError, len(r.Volumes))
		})
	}
}
