// Package signals delivers the signals that control a server process. SIGHUP reloads its configuration, and
// SIGTERM and SIGINT stop it.
//
// The package catches these signals from its own initialization on, before main and most other packages run. A
// signal that arrives while the program starts does not end the process by its default action. The package keeps
// the signal for Listen.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Listener receives signals on a separate channel for each kind, so that a series of signals of one kind never
// displaces a signal of the other kind. Each channel holds one signal. Further signals of a kind are dropped until
// the program has received the first one.
type Listener struct {
	Reload chan os.Signal // receives SIGHUP
	Stop   chan os.Signal // receives SIGTERM and SIGINT
}

// startupListener receives the signals until Listen or Release is called.
var startupListener = register()

func register() *Listener {
	l := &Listener{Reload: make(chan os.Signal, 1), Stop: make(chan os.Signal, 1)}
	signal.Notify(l.Reload, syscall.SIGHUP)
	signal.Notify(l.Stop, syscall.SIGTERM, syscall.SIGINT)
	return l
}

// Listen returns a listener for the signals that arrive from now on. The listener also receives the signals that
// have arrived since the program started, unless an earlier call of Listen has received them. The caller must close
// the listener.
func Listen() *Listener {
	l := register()
	startupListener.Close()
	forward(startupListener.Reload, l.Reload)
	forward(startupListener.Stop, l.Stop)
	return l
}

// forward moves the pending signal of one channel, if any, to another channel. If the other channel already has a
// pending signal, forward drops the moved one.
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

// Release restores the default actions of the signals, for programs that are not servers. It sends each signal that
// has arrived since the program started to the process again, so that its default action takes effect.
func Release() {
	startupListener.Close()
	for _, pending := range []chan os.Signal{startupListener.Reload, startupListener.Stop} {
		select {
		case s := <-pending:
			_ = syscall.Kill(os.Getpid(), s.(syscall.Signal)) // a process can always signal itself
		default:
		}
	}
}

// Close stops the delivery of signals to the listener. If no other listener is open, Close restores the default
// actions, so that the next signal ends the process.
func (l *Listener) Close() {
	signal.Stop(l.Reload)
	signal.Stop(l.Stop)
}
