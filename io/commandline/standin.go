package commandline

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"redwingsill/core/configuration"
	"redwingsill/core/hostentry"
	"redwingsill/core/kind"
	"redwingsill/core/resource"
	"redwingsill/io/standin/loadgenerator"
	"redwingsill/io/standin/monitor"
	"redwingsill/io/standin/platform"
	"redwingsill/io/standin/server"
	"redwingsill/io/task"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for a system outside of redwingsill",
		Commands: []*cli.Command{
			{
				Name:  "platform",
				Usage: "run the platform's service: keys, leases, watches and a list of hosts; faults are set under /admin",
				Flags: []cli.Flag{
					stringFlag("address", "REDWINGSILL_ADDRESS", "the IP address and port to listen on", "127.0.0.1:9000"),
					stringFlag("hosts", "REDWINGSILL_HOSTS", "a JSON file with the list of entry hosts", ""),
				},
				Action: runPlatformStandIn,
			},
			{
				Name:  "monitor",
				Usage: "serve the monitoring system's verdicts; they are set under /admin",
				Flags: []cli.Flag{stringFlag("address", "REDWINGSILL_ADDRESS", "the IP address and port to listen on", "127.0.0.1:9001")},
				Action: func(ctx context.Context, c *cli.Command) error {
					return serveUntilSignal(ctx, c.String("address"), &http.Server{Handler: monitor.New().Handler(), ReadHeaderTimeout: readHeaderTimeout})
				},
			},
			{
				Name:  "server",
				Usage: "run a backend server as declared in a configuration file; faults are set under /admin",
				Flags: []cli.Flag{
					stringFlag("configuration", "REDWINGSILL_CONFIGURATION", "the file that declares the server", ""),
					stringFlag("name", "REDWINGSILL_NAME", "the name of the BackendServer", ""),
					&cli.DurationFlag{Name: "service-time", Usage: "the mean service time of a request", Value: 4 * time.Millisecond, Sources: cli.EnvVars("REDWINGSILL_SERVICE_TIME")},
					&cli.DurationFlag{Name: "cold-for", Usage: "the time after the start during which requests take three times as long", Value: time.Second, Sources: cli.EnvVars("REDWINGSILL_COLD_FOR")},
					&cli.Uint64Flag{Name: "seed", Usage: "the seed of the random service times", Value: 1, Sources: cli.EnvVars("REDWINGSILL_SEED")},
				},
				Action: runServerStandIn,
			},
			{
				Name:  "callers",
				Usage: "send a mixed load and check the responses; exit status 1 if an invariant is violated",
				Flags: []cli.Flag{
					&cli.StringSliceFlag{Name: "entry", Usage: "the URL of an entry host's caller address; may be repeated", Sources: cli.EnvVars("REDWINGSILL_ENTRIES")},
					&cli.StringSliceFlag{Name: "stream", Usage: "service:rank:rate[:once][:keyed][:deadline=1s]; rate is in requests per second, once sends request IDs, keyed sends keys; may be repeated", Sources: cli.EnvVars("REDWINGSILL_STREAMS")},
					stringFlag("configuration", "REDWINGSILL_CONFIGURATION", "the file that declares the backend servers whose runs are checked", ""),
					&cli.DurationFlag{Name: "duration", Usage: "how long to send requests", Value: 15 * time.Second, Sources: cli.EnvVars("REDWINGSILL_DURATION")},
					&cli.Uint64Flag{Name: "seed", Usage: "the seed of the random load", Value: 1, Sources: cli.EnvVars("REDWINGSILL_SEED")},
					stringFlag("format", "REDWINGSILL_FORMAT", "table or json", "table"),
				},
				Action: runCallerStandIn,
			},
		},
	}
}

func runPlatformStandIn(ctx context.Context, c *cli.Command) error {
	p := platform.New(time.Now)
	if path := c.String("hosts"); path != "" {
		text, err := readInput(path)
		if err != nil {
			return newError("read hosts", kind.Invalid, err)
		}
		var list struct{ Hosts []hostentry.HostEntry }
		if err := json.Unmarshal(text, &list); err != nil {
			return newError("read hosts", kind.Invalid, err)
		}
		p.SetHosts(list.Hosts)
	}
	return serveUntilSignal(ctx, c.String("address"), &http.Server{Handler: p.Handler(), ReadHeaderTimeout: readHeaderTimeout})
}

func runServerStandIn(ctx context.Context, c *cli.Command) error {
	servers, err := readBackendServers(c.String("configuration"))
	if err != nil {
		return err
	}
	for _, b := range servers {
		if b.Name == c.String("name") {
			s := server.New(b.Name, b.Slots, b.Connections, b.ChecksGrants, c.Duration("service-time"), c.Duration("cold-for"), c.Uint64("seed"))
			return serveUntilSignal(ctx, b.Address, s.HTTP())
		}
	}
	return newError("run server", kind.Invalid, fmt.Errorf("--name: backend server %q is not declared in %s", c.String("name"), c.String("configuration")))
}

func runCallerStandIn(ctx context.Context, c *cli.Command) error {
	servers, err := readBackendServers(c.String("configuration"))
	if err != nil {
		return err
	}
	var urls []string
	for _, b := range servers {
		urls = append(urls, "http://"+b.Address)
	}
	var v validator
	v.require(len(c.StringSlice("entry")) > 0, "--entry", "", "at least one URL")
	v.require(len(c.StringSlice("stream")) > 0, "--stream", "", "at least one stream")
	if err := v.err(); err != nil {
		return err
	}
	generator, closeGenerator, err := loadgenerator.New(c.StringSlice("entry"), c.StringSlice("stream"), c.Uint64("seed"))
	if err != nil {
		return newError("read streams", kind.Invalid, err)
	}
	defer closeGenerator()
	generator.Run(ctx, c.Duration("duration"))
	report, err := generator.Verify(ctx, urls)
	if err != nil {
		return newError("judge", kind.Unavailable, err)
	}
	if c.String("format") == "json" {
		encoder := json.NewEncoder(c.Root().Writer)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(report)
	} else {
		err = report.Print(c.Root().Writer)
	}
	if err == nil && !report.HasNoViolations() {
		return newError("judge", kind.Unavailable, fmt.Errorf("an invariant was violated"))
	}
	return err
}

// readBackendServers returns the backend servers that a configuration file declares.
func readBackendServers(path string) ([]resource.BackendServer, error) {
	text, err := readInput(path)
	if err != nil {
		return nil, newError("read configuration", kind.Invalid, err)
	}
	resources, err := configuration.ParseResources(text)
	if err != nil {
		return nil, newError("read configuration", kind.Invalid, err)
	}
	var servers []resource.BackendServer
	for _, r := range resources {
		if b, ok := r.(resource.BackendServer); ok {
			servers = append(servers, b)
		}
	}
	return servers, nil
}

// serveUntilSignal serves HTTP until the process receives SIGTERM or SIGINT.
func serveUntilSignal(ctx context.Context, address string, s *http.Server) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return newError("listen", kind.Unavailable, err)
	}
	tasks, wait := task.New(ctx)
	tasks.Go(func(context.Context) { _ = s.Serve(listener) })
	<-ctx.Done()
	_ = s.Close()
	wait()
	return nil
}
