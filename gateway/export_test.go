package gateway

import "time"

// Overload puts a volume into overload on the first worker, and stops its loop until release
// is called.
func (g *Gateway) Overload(volume string) (release func()) {
	stopped, resume := make(chan struct{}), make(chan struct{})
	w := g.workers[0]
	w.loop.Post(func() {
		interval := g.cfg.Share.Overload.Interval.D()
		c := w.volumeOf(volume).overload
		c.ShouldReject(0, time.Minute)
		c.ShouldReject(interval, time.Minute)
		close(stopped)
		<-resume
	})
	<-stopped
	return func() { close(resume) }
}
