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
	"redwingsill/core/timing"
	"redwingsill/io/caller"
	"redwingsill/io/clock"
	"redwingsill/io/entry"
	"redwingsill/io/identity"
	"redwingsill/io/keys"
	"redwingsill/io/metrics"
	"redwingsill/io/monitor"
	"redwingsill/io/operator"
	"redwingsill/io/peer"
	"redwingsill/io/platform"
	"redwingsill/io/task"
	"redwingsill/io/trace"
)

const (
	handOverTimeout   = 25 * time.Second
	readHeaderTimeout = 5 * time.Second
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run the daemon of an entry host",
		Description: "The daemon serves callers, other entry hosts and operators until it gets SIGTERM or SIGINT. Then it hands\n" +
			"over what it holds, lets requests in flight end, and stops.",
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

// runEntry runs the daemon until the context ends, and then stops it in order.
func runEntry(ctx context.Context, s entrySettings, stderr io.Writer) error {
	log := newLog(stderr, s.logLevel, s.name)
	spans, closeSpans, err := s.openTraces(stderr)
	if err != nil {
		return err
	}
	defer closeSpans()
	tracer, closeTracer := trace.New(s.name, spans)
	defer closeTracer()
	store, closeStore := platform.New(s.platform, s.platformRate)
	defer closeStore()
	verdicts, closeVerdicts := monitor.New(s.monitor)
	defer closeVerdicts()
	figures := metrics.New()
	ticking := clock.New()
	e := entry.New(identity.Identity{Name: s.name, DataCentre: s.dataCentre, Incarnation: ticking.Now().UnixNano()},
		timing.Default(), ticking, store, verdicts, figures, tracer, log)

	background := context.WithoutCancel(ctx)
	listener, err := net.Listen("tcp", s.peerAddress)
	if err != nil {
		return err
	}
	peers, closePeers := peer.New(background, s.name, []byte(s.peerSecret), e.AddressOf, log)
	defer closePeers()
	stopEntry := e.Start(background, peers)
	defer stopEntry()
	peers.Serve(listener, e)

	tasks, wait := task.New(background)
	defer wait()
	failed := make(chan error, 2)
	callers, err := s.serveHTTP(tasks, s.callerAddress, caller.New(e).Handler(), "", failed)
	if err != nil {
		return err
	}
	defer callers()
	operators, err := s.serveHTTP(tasks, s.operatorAddress, operator.New(e, store, s.operatorToken).Handler(figures.Handler()), s.clientCAFile, failed)
	if err != nil {
		return err
	}
	defer operators()
	log.Info("entry host started", "DataCentre", s.dataCentre, "CallerAddress", s.callerAddress, "PeerAddress", s.peerAddress,
		"OperatorAddress", s.operatorAddress)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return handOver(background, e, log)
}

// leave hands over what the host holds.
func handOver(ctx context.Context, e *entry.Entry, log *slog.Logger) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	began := time.Now()
	log.Info("leaving")
	e.Leave(ctx)
	log.Info("left", "Took", time.Since(began), "IsWhole", ctx.Err() == nil)
	return nil
}

// serve serves HTTP on an address, with TLS where the settings have a certificate. The clean-up lets what is in flight
// end.
func (s entrySettings) serveHTTP(tasks *task.Group, address string, h http.Handler, clientCA string, failed chan<- error) (func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if s.certificateFile != "" {
		if listener, err = keys.New(s.certificateFile, s.keyFile, clientCA).Listen(listener); err != nil {
			return nil, err
		}
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	tasks.Go(func(context.Context) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	})
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	}, nil
}

func describeLength(text string) string { return strconv.Itoa(len(text)) + " characters" }
