package attributiontest

import "testing"

// Attribution names the cause of each fault, and the components of each request sum exactly to its
// latency. This test compares totals with a larger tolerance, because the race detector slows the path
// between client and gateway. The command `chalkstand attribution-test` compares them with Tolerance.
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
			t.Logf("totals of the volumes differ by at most %.1f %%; %d volumes", 100*r.MaxError, len(r.Volumes))
		})
	}
}
