package gateway

import "time"

// Overload makes the first worker's overload controller treat a volume as overloaded, and blocks the
// worker's loop until the caller calls release.
func (g *Gateway) Overload(volume string) (release func()) {
	stopped, resume := make(chan struct{}), make(chan struct{})
	w := g.workers[0]
	w.loop.Post(func() {
		interval := g.cfg.FairSharing.Overload.Interval.D()
		c := w.volumeOf(volume).overload
		c.ShouldReject(0, time.Minute)
		c.ShouldReject(interval, time.Minute)
		close(stopped)
		<-resume
	})
	<-stopped
	return func() { close(resume) }
}

// WriteToClients writes the end of a response to all client connections. It returns when the kernel has
// accepted as much as it can hold.
func (g *Gateway) WriteToClients(b []byte) {
	written := make(chan struct{}, len(g.workers))
	for _, w := range g.workers {
		w.loop.Post(func() {
			for c := range w.clients {
				c.conn.Write(b)
			}
			written <- struct{}{}
		})
	}
	for range g.workers {
		<-written
	}
}
