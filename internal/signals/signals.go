// Package signals delivers the signals that steer a server process: SIGHUP, which reloads its configuration, and
// SIGTERM and SIGINT, which stop it.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Listener receives signals, each kind on a channel of its own with room for one, so that a series of one kind
// never displaces the other. Signals of a kind that come before the last one was received count as one.
type Listener struct {
	Reload chan os.Signal // SIGHUP
	Stop   chan os.Signal // SIGTERM and SIGINT
}

// Listen returns a listener. The caller closes it.
func Listen() *Listener {
	l := &Listener{Reload: make(chan os.Signal, 1), Stop: make(chan os.Signal, 1)}
	signal.Notify(l.Reload, syscall.SIGHUP)
	signal.Notify(l.Stop, syscall.SIGTERM, syscall.SIGINT)
	return l
}

// Close stops the delivery. Where no other listener is open, the default actions are restored.
func (l *Listener) Close() {
	signal.Stop(l.Reload)
	signal.Stop(l.Stop)
}
