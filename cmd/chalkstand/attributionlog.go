package main

import (
	"time"

	"go.uber.org/zap"

	"chalkstand/attribution"
	"chalkstand/gateway"
	"chalkstand/internal/attributionlog"
	"chalkstand/internal/settings"
)

// attributionLog writes the latency attribution of a gateway to a file. After a write error,
// the log is disabled and the gateway continues without it.
type attributionLog struct {
	writer   *attributionlog.Writer
	log      *zap.Logger
	gateway  *gateway.Gateway
	bound    chan struct{} // closed when gateway is set
	disabled bool          // whether a write has failed
}

// openAttributionLog opens the attribution log. It returns nil if the settings contain no log
// file or disable latency attribution.
func openAttributionLog(s *settings.Settings, log *zap.Logger) (*attributionLog, error) {
	if s.Attribution.Log == "" || !s.Attribution.Enabled {
		return nil, nil
	}
	w, err := attributionlog.Open(s.Attribution.Log, s.Attribution.LogBytes, s.Attribution.LogFiles)
	if err != nil {
		return nil, err
	}
	return &attributionLog{writer: w, log: log, bound: make(chan struct{})}, nil
}

// bind sets the gateway whose attribution is logged. It must be called exactly once.
func (l *attributionLog) bind(g *gateway.Gateway) {
	l.gateway = g
	close(l.bound)
}

// append writes one action of the attribution to the log. It blocks until bind has been
// called.
func (l *attributionLog) append(a attribution.Action) {
	<-l.bound
	if l.disabled {
		return
	}
	record := attributionlog.NewRecord(l.gateway.RunInfo(), time.Now(), l.gateway.Now(), a)
	if err := l.writer.Append(record); err != nil {
		l.disabled = true
		l.log.Error("attribution log disabled", zap.Error(err))
	}
}

// close closes the log file and logs an error.
func (l *attributionLog) close() {
	if err := l.writer.Close(); err != nil {
		l.log.Warn("attribution log not closed cleanly", zap.Error(err))
	}
}
