package commandline

import (
	"io"
	"log/slog"
)

var logLevels = map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}

// newLogger returns a logger that writes key=value lines with the host's name. The level must be a key of logLevels.
func newLogger(w io.Writer, level, host string) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: logLevels[level]})).With("Host", host)
}
