package main

import (
	"time"

	"go.uber.org/zap"

	"chalkstand/attribution"
	"chalkstand/gateway"
	"chalkstand/internal/attributionlog"
	"chalkstand/internal/settings"
)

// attributionLog writes a gateway's latency attribution to a file. An error disables the log, not the
// gateway.
type attributionLog struct {
	writer   *attributionlog.Writer
	log      *zap.Logger
	gateway  *gateway.Gateway
	bound    chan struct{} // closed when gateway is set
	disabled bool
}

// openAttributionLog opens the log, or returns nil if the settings name none.
func openAttributionLog(s *settings.Settings, log *zap.Logger) (*attributionLog, error) {
	if s.Accounts.Log == "" || !s.Accounts.On {
		return nil, nil
	}
	w, err := attributionlog.Open(s.Accounts.Log, s.Accounts.LogBytes, s.Accounts.LogFiles)
	if err != nil {
		return nil, err
	}
	return &attributionLog{writer: w, log: log, bound: make(chan struct{})}, nil
}

// bind sets the gateway whose attribution is logged. It is called once.
func (l *attributionLog) bind(g *gateway.Gateway) {
	l.gateway = g
	close(l.bound)
}

// append writes one record. It blocks until bind has been called.
func (l *attributionLog) append(a attribution.Action) {
	<-l.bound
	if l.disabled {
		return
	}
	record := attributionlog.NewRecord(l.gateway.Run(), time.Now(), l.gateway.Now(), a)
	if err := l.writer.Append(record); err != nil {
		l.disabled = true
		l.log.Error("attribution log disabled", zap.Error(err))
	}
}

func (l *attributionLog) close() {
	if err := l.writer.Close(); err != nil {
		l.log.Warn("attribution log not closed cleanly", zap.Error(err))
	}
}
