package commandline

import (
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// entrySettings are the settings of an entry host.
type entrySettings struct {
	name, dataCentre                            string
	callerAddress, peerAddress, operatorAddress string
	platform, monitor                           string
	peerSecret, operatorToken                   string
	certificateFile, keyFile, clientCAFile      string
	logLevel, traces                            string
	platformRate                                float64
}

func entryFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("name", "REDWINGSILL_NAME", "the name of this entry host, as declared in its DataCentre", ""),
		stringFlag("data-centre", "REDWINGSILL_DATA_CENTRE", "the name of this host's data centre", ""),
		stringFlag("caller-address", "REDWINGSILL_CALLER_ADDRESS", "the IP number and port to serve callers on", "127.0.0.1:8080"),
		stringFlag("peer-address", "REDWINGSILL_PEER_ADDRESS", "the IP number and port to serve other entry hosts on", "127.0.0.1:8081"),
		stringFlag("operator-address", "REDWINGSILL_OPERATOR_ADDRESS", "the IP number and port to serve operators, metrics and health on", "127.0.0.1:8082"),
		stringFlag("platform", "REDWINGSILL_PLATFORM", "the URL of the platform's service", ""),
		&cli.FloatFlag{Name: "platform-rate", Usage: "the most calls a second that this host makes to the platform", Value: 10, Sources: cli.EnvVars("REDWINGSILL_PLATFORM_RATE")},
		stringFlag("monitor", "REDWINGSILL_MONITOR", "the URL of the monitoring group's verdicts", ""),
		stringFlag("peer-secret", "REDWINGSILL_PEER_SECRET", "the secret that all entry hosts share, 16 characters or more", ""),
		stringFlag("operator-token", "REDWINGSILL_OPERATOR_TOKEN", "the token that allows changes; without one they are refused", ""),
		stringFlag("tls-certificate", "REDWINGSILL_TLS_CERTIFICATE", "a file with the certificate for callers and operators; read again when it changes", ""),
		stringFlag("tls-key", "REDWINGSILL_TLS_KEY", "a file with the certificate's key", ""),
		stringFlag("tls-client-ca", "REDWINGSILL_TLS_CLIENT_CA", "a file with the authorities whose client certificates operators need", ""),
		stringFlag("log-level", "REDWINGSILL_LOG_LEVEL", "debug, info, warn or error", "info"),
		stringFlag("traces", "REDWINGSILL_TRACES", "where to write a line for each span: stderr, a file, or nothing", ""),
	}
}

func parseEntrySettings(c *cli.Command) (entrySettings, error) {
	s := entrySettings{
		name: c.String("name"), dataCentre: c.String("data-centre"),
		callerAddress: c.String("caller-address"), peerAddress: c.String("peer-address"),
		operatorAddress: c.String("operator-address"),
		platform:        c.String("platform"), monitor: c.String("monitor"),
		peerSecret: c.String("peer-secret"), operatorToken: c.String("operator-token"),
		certificateFile: c.String("tls-certificate"), keyFile: c.String("tls-key"), clientCAFile: c.String("tls-client-ca"),
		logLevel: c.String("log-level"), traces: c.String("traces"), platformRate: c.Float("platform-rate"),
	}
	var wrong validator
	wrong.name("--name", s.name)
	wrong.name("--data-centre", s.dataCentre)
	wrong.address("--caller-address", s.callerAddress)
	wrong.address("--peer-address", s.peerAddress)
	wrong.address("--operator-address", s.operatorAddress)
	wrong.url("--platform", s.platform)
	wrong.url("--monitor", s.monitor)
	wrong.require(s.platformRate >= 4 && s.platformRate <= 1000, "--platform-rate", fmt.Sprint(s.platformRate), "4 to 1000; an arbiter needs 3 calls a second")
	wrong.require(len(s.peerSecret) >= 16, "--peer-secret", "a secret of "+describeLength(s.peerSecret), "16 characters or more")
	wrong.require((s.certificateFile == "") == (s.keyFile == ""), "--tls-key", s.keyFile, "given together with --tls-certificate")
	wrong.require(s.clientCAFile == "" || s.certificateFile != "", "--tls-client-ca", s.clientCAFile, "given together with --tls-certificate")
	_, known := logLevels[s.logLevel]
	wrong.require(known, "--log-level", s.logLevel, "debug, info, warn or error")
	return s, wrong.err()
}

// traceWriter returns where spans are written, or nil, and its clean-up.
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
