package commandline

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"redwingsill/core/kind"
	"redwingsill/core/limits"
	"redwingsill/core/timing"
	"redwingsill/io/caller"
	"redwingsill/io/certificate"
	"redwingsill/io/clock"
	"redwingsill/io/entry"
	"redwingsill/io/http1"
	"redwingsill/io/identity"
	"redwingsill/io/metrics"
	"redwingsill/io/monitor"
	"redwingsill/io/operator"
	"redwingsill/io/peer"
	"redwingsill/io/platform"
	"redwingsill/io/task"
	"redwingsill/io/trace"
)

const (
	// shutdownTimeout bounds each step of a shutdown: the handover of the leases, and then, for each HTTP server, the wait for
	// its requests in flight.
	shutdownTimeout   = 25 * time.Second
	readHeaderTimeout = 5 * time.Second
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run the daemon of an entry host",
		Description: "The daemon serves callers, other entry hosts and operators until it receives SIGTERM or SIGINT. Then it hands\n" +
			"over its leases, waits for requests in flight, and stops.",
		Flags: entryFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := parseEntrySettings(c)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			if err := runEntry(ctx, s, c.Root().ErrWriter); err != nil {
				return newError("run entry", kind.Unavailable, oops.In("entry").With("name", s.name).Wrap(err))
			}
			return nil
		},
	}
}

// runEntry runs the daemon until ctx is done or an HTTP server fails. When ctx is done, it hands over the leases of the host
// and waits for requests in flight before it returns.
func runEntry(ctx context.Context, s entrySettings, stderr io.Writer) error {
	log := newLogger(stderr, s.logLevel, s.name)
	spans, closeSpans, err := s.openTraces(stderr)
	if err != nil {
		return err
	}
	defer closeSpans()
	tracer, closeTracer := trace.New(s.name, spans)
	defer closeTracer()
	store, closeStore := platform.New(s.platformURL, s.platformRate)
	defer closeStore()
	verdicts, closeVerdicts := monitor.New(s.monitorURL)
	defer closeVerdicts()
	recorder := metrics.New()
	systemClock := clock.New()
	e := entry.New(identity.Identity{Name: s.name, DataCentre: s.dataCentre, Incarnation: systemClock.Now().UnixNano()},
		timing.Default(), systemClock, store, verdicts, recorder, tracer, log)

	// The host keeps running after ctx is done, until the handover is complete.
	background := context.WithoutCancel(ctx)
	listener, err := net.Listen("tcp", s.peerAddress)
	if err != nil {
		return err
	}
	peers, closePeers := peer.New(background, s.name, []byte(s.peerSecret), e.PeerAddress, log)
	defer closePeers()
	stopEntry := e.Start(background, peers)
	defer stopEntry()
	peers.Serve(listener, e)

	tasks, wait := task.New(background)
	defer wait()
	failed := make(chan error, 2) // room for one error of each HTTP server, so that no send blocks
	stopCallers, err := s.serveCallers(background, caller.New(e).Handler(), log, failed)
	if err != nil {
		return err
	}
	defer stopCallers()
	stopOperators, err := s.serveHTTP(tasks, s.operatorAddress, operator.New(e, store, s.operatorToken).Handler(recorder.Handler()), s.clientCAFile, failed)
	if err != nil {
		return err
	}
	defer stopOperators()
	log.Info("entry host started", "DataCentre", s.dataCentre, "CallerAddress", s.callerAddress, "PeerAddress", s.peerAddress,
		"OperatorAddress", s.operatorAddress)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return handOver(background, e, log)
}

// handOver hands over the leases of the host and waits until it holds none and no request is in flight, at most for
// shutdownTimeout.
func handOver(ctx context.Context, e *entry.Entry, log *slog.Logger) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	start := time.Now()
	log.Info("leaving")
	e.HandOver(ctx)
	// IsWhole is false if shutdownTimeout passed before the handover was complete.
	log.Info("left", "Took", time.Since(start), "IsWhole", ctx.Err() == nil)
	return nil
}

// listen listens on an address, with TLS if the settings have a certificate. With TLS, clients need a certificate signed by a CA
// in clientCAFile, unless that is empty.
func (s entrySettings) listen(address, clientCAFile string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || s.certificateFile == "" {
		return listener, err
	}
	return certificate.New(s.certificateFile, s.keyFile, clientCAFile).Listen(listener)
}

// serveCallers serves callers, also pipelined requests: those with a request ID run at most once however often they are sent.
// The returned function and failed are as in [entrySettings.serveHTTP].
func (s entrySettings) serveCallers(ctx context.Context, h http.Handler, log *slog.Logger, failed chan<- error) (func(), error) {
	listener, err := s.listen(s.callerAddress, "")
	if err != nil {
		return nil, err
	}
	server := http1.New(h, func() limits.Limits { return limits.Limits{HeaderTimeout: readHeaderTimeout} }, log)
	ended, closeServer := server.Serve(ctx, listener)
	stopping := make(chan struct{})
	go func() {
		err := <-ended
		select {
		case <-stopping:
		default:
			failed <- errors.Join(errors.New("the HTTP server for callers ended"), err)
		}
	}()
	return func() {
		close(stopping)
		_ = listener.Close() // connections that are accepted go on
		ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
		defer cancel()
		server.Shutdown(ctx)
		closeServer()
	}, nil
}

// serveHTTP serves HTTP on an address. With TLS, clients need a certificate signed by a CA in clientCAFile, unless that is empty.
// The returned function shuts the server down and waits for its requests in flight, at most for shutdownTimeout. An error of the
// running server is sent to failed.
func (s entrySettings) serveHTTP(tasks *task.Group, address string, h http.Handler, clientCAFile string, failed chan<- error) (func(), error) {
	listener, err := s.listen(address, clientCAFile)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	tasks.Go(func(context.Context) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	})
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	}, nil
}

// describeLength describes a secret by its length, for error messages, which must not contain it.
func describeLength(secret string) string { return strconv.Itoa(len(secret)) + " characters" }
