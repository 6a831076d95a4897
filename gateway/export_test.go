package gateway

import "time"

// Overload has the first lane hold a volume for overloaded, and stops its loop until release
// is called.
func (g *Gateway) Overload(volume string) (release func()) {
	held, free := make(chan struct{}), make(chan struct{})
	l := g.workers[0]
	l.loop.Post(func() {
		interval := g.cfg.Share.Overload.Interval.D()
		o := l.volumeOf(volume).overload
		o.ShouldReject(0, time.Minute)
		o.ShouldReject(interval, time.Minute)
		close(held)
		<-free
	})
	<-held
	return func() { close(free) }
}
