package commandline

import (
	"io"
	"log/slog"
)

var logLevels = map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}

// newLog returns a log of one line of key=value pairs for each event.
func newLog(w io.Writer, level, host string) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: logLevels[level]})).With("Host", host)
}
