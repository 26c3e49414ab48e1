package commandline

import (
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// entrySettings holds the settings of an entry host. platformRate is in calls per second.
type entrySettings struct {
	name, dataCentre                            string
	callerAddress, peerAddress, operatorAddress string
	platformURL, monitorURL                     string
	peerSecret, operatorToken                   string
	certificateFile, keyFile, clientCAFile      string
	logLevel, traces                            string
	platformRate                                float64
}

func entryFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("name", "REDWINGSILL_NAME", "the name of this entry host, as declared in its DataCentre", ""),
		stringFlag("data-centre", "REDWINGSILL_DATA_CENTRE", "the name of this host's data centre", ""),
		stringFlag("caller-address", "REDWINGSILL_CALLER_ADDRESS", "the IP address and port for callers", "127.0.0.1:8080"),
		stringFlag("peer-address", "REDWINGSILL_PEER_ADDRESS", "the IP address and port for other entry hosts", "127.0.0.1:8081"),
		stringFlag("operator-address", "REDWINGSILL_OPERATOR_ADDRESS", "the IP address and port for operators, metrics and health checks", "127.0.0.1:8082"),
		stringFlag("platform", "REDWINGSILL_PLATFORM", "the base URL of the platform's service", ""),
		&cli.FloatFlag{Name: "platform-rate", Usage: "the maximum number of calls per second from this host to the platform", Value: 10, Sources: cli.EnvVars("REDWINGSILL_PLATFORM_RATE")},
		stringFlag("monitor", "REDWINGSILL_MONITOR", "the base URL of the monitoring system", ""),
		stringFlag("peer-secret", "REDWINGSILL_PEER_SECRET", "the shared secret of all entry hosts, at least 16 characters", ""),
		stringFlag("operator-token", "REDWINGSILL_OPERATOR_TOKEN", "the bearer token required for changes; if empty, all changes are refused", ""),
		stringFlag("tls-certificate", "REDWINGSILL_TLS_CERTIFICATE", "the file of the certificate for callers and operators; reloaded when it changes", ""),
		stringFlag("tls-key", "REDWINGSILL_TLS_KEY", "the file of the certificate's private key", ""),
		stringFlag("tls-client-ca", "REDWINGSILL_TLS_CLIENT_CA", "the file of the CA certificates that operators' client certificates are verified with", ""),
		stringFlag("log-level", "REDWINGSILL_LOG_LEVEL", "debug, info, warn or error", "info"),
		stringFlag("traces", "REDWINGSILL_TRACES", "where to write one line per trace span: stderr or a file; empty for no traces", ""),
	}
}

func parseEntrySettings(c *cli.Command) (entrySettings, error) {
	s := entrySettings{
		name: c.String("name"), dataCentre: c.String("data-centre"),
		callerAddress: c.String("caller-address"), peerAddress: c.String("peer-address"),
		operatorAddress: c.String("operator-address"),
		platformURL:     c.String("platform"), monitorURL: c.String("monitor"),
		peerSecret: c.String("peer-secret"), operatorToken: c.String("operator-token"),
		certificateFile: c.String("tls-certificate"), keyFile: c.String("tls-key"), clientCAFile: c.String("tls-client-ca"),
		logLevel: c.String("log-level"), traces: c.String("traces"), platformRate: c.Float("platform-rate"),
	}
	var v validator
	v.requireName("--name", s.name)
	v.requireName("--data-centre", s.dataCentre)
	v.requireAddress("--caller-address", s.callerAddress)
	v.requireAddress("--peer-address", s.peerAddress)
	v.requireAddress("--operator-address", s.operatorAddress)
	v.requireURL("--platform", s.platformURL)
	v.requireURL("--monitor", s.monitorURL)
	v.require(s.platformRate >= 4 && s.platformRate <= 1000, "--platform-rate", fmt.Sprint(s.platformRate), "4 to 1000; a leader needs 3 calls per second")
	v.require(len(s.peerSecret) >= 16, "--peer-secret", "a secret of "+describeLength(s.peerSecret), "at least 16 characters")
	v.require((s.certificateFile == "") == (s.keyFile == ""), "--tls-key", s.keyFile, "set if and only if --tls-certificate is set")
	v.require(s.clientCAFile == "" || s.certificateFile != "", "--tls-client-ca", s.clientCAFile, "set only together with --tls-certificate")
	_, known := logLevels[s.logLevel]
	v.require(known, "--log-level", s.logLevel, "debug, info, warn or error")
	return s, v.err()
}

// openTraces returns the writer for trace spans, or nil if traces are off, and a function that closes it.
func (s entrySettings) openTraces(stderr io.Writer) (io.Writer, func(), error) {
	switch s.traces {
	case "":
		return nil, func() {}, nil
	case "stderr":
		return stderr, func() {}, nil
	}
	f, err := os.OpenFile(s.traces, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, err
	}
	return f, func() { _ = f.Close() }, nil
}
