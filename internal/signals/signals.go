// Package signals delivers the signals that steer a server process: SIGHUP, which reloads its configuration, and
// SIGTERM and SIGINT, which stop it.
//
// It catches them from its own initialization on, before main and most other packages: a signal that comes while
// the program starts is kept for Listen and does not end the process by its default action.
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

// atStart receives the signals until Listen or Release is called.
var atStart = register()

func register() *Listener {
	l := &Listener{Reload: make(chan os.Signal, 1), Stop: make(chan os.Signal, 1)}
	signal.Notify(l.Reload, syscall.SIGHUP)
	signal.Notify(l.Stop, syscall.SIGTERM, syscall.SIGINT)
	return l
}

// Listen returns a listener with the signals that have come since the program started, unless an earlier call
// has returned them, and those to come. The caller closes it.
func Listen() *Listener {
	l := register()
	atStart.Close()
	forward(atStart.Reload, l.Reload)
	forward(atStart.Stop, l.Stop)
	return l
}

// forward passes on the signal that is pending in a channel, if there is one. Where one is pending in the other
// channel already, both count as one.
func forward(from, to chan os.Signal) {
	select {
	case s := <-from:
		select {
		case to <- s:
		default:
		}
	default:
	}
}

// Release restores the default actions, for programs that are not servers. A signal that has come since the
// program started takes effect now.
func Release() {
	atStart.Close()
	for _, pending := range []chan os.Signal{atStart.Reload, atStart.Stop} {
		select {
		case s := <-pending:
			_ = syscall.Kill(os.Getpid(), s.(syscall.Signal)) // it cannot fail for the own process
		default:
		}
	}
}

// Close stops the delivery. Where no other listener is open, the default actions are restored: a signal then
// ends the process.
func (l *Listener) Close() {
	signal.Stop(l.Reload)
	signal.Stop(l.Stop)
}
