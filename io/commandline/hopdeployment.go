package commandline

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"redwingsill/core/configuration"
	"redwingsill/core/duration"
	"redwingsill/core/hostentry"
	"redwingsill/core/resource"
	"redwingsill/io/standin/monitor"
	"redwingsill/io/standin/platform"
	"redwingsill/io/standin/server"
	"redwingsill/io/task"
)

// hopDeployment is one data centre with hopHosts entry hosts and one backend server, all in this process. The URLs are in the
// order of the hosts.
type hopDeployment struct {
	callerURLs    []string
	operatorURLs  []string
	serverAddress string
}

// startHopDeployment starts the stand-ins and the entry hosts, which run until the tasks are canceled, and applies the
// configuration.
func startHopDeployment(tasks *task.Group) (*hopDeployment, error) {
	// The first three addresses are those of the platform, the monitoring system and the backend server. Each host has the next
	// three: for peers, callers and operators.
	addresses, err := freeAddresses(3 + 3*hopHosts)
	if err != nil {
		return nil, err
	}
	d := &hopDeployment{serverAddress: addresses[2]}
	store := platform.New(time.Now)
	var entries []hostentry.HostEntry
	var names []string
	for i := range hopHosts {
		name := fmt.Sprintf("ilo-%d", i+1)
		names = append(names, name)
		entries = append(entries, hostentry.HostEntry{Name: name, DataCentre: "ilo", Address: addresses[3+3*i]})
	}
	store.SetHosts(entries)
	// The server checks no grants, has a service time of 0 and no cold period, so that it adds little to the latency.
	backend := server.New("inventario-1", hopServerSlots, hopServerConnections, false, 0, 0, 1)
	startServer(tasks, addresses[0], &http.Server{Handler: store.Handler(), ReadHeaderTimeout: readHeaderTimeout})
	startServer(tasks, addresses[1], &http.Server{Handler: monitor.New().Handler(), ReadHeaderTimeout: readHeaderTimeout})
	startServer(tasks, addresses[2], backend.HTTP())
	for i, name := range names {
		s := entrySettings{name: name, dataCentre: "ilo", peerAddress: addresses[3+3*i], callerAddress: addresses[4+3*i],
			operatorAddress: addresses[5+3*i], platformURL: "http://" + addresses[0], monitorURL: "http://" + addresses[1],
			peerSecret: "a secret for measuring hops", operatorToken: hopToken, logLevel: "error", platformRate: 50}
		d.callerURLs = append(d.callerURLs, "http://"+s.callerAddress)
		d.operatorURLs = append(d.operatorURLs, "http://"+s.operatorAddress)
		tasks.Go(func(ctx context.Context) { _ = runEntry(ctx, s, io.Discard) })
	}
	return d, d.apply(names, addresses[2])
}

// apply submits the configuration of the deployment, and retries for 5 s while the first host starts.
func (d *hopDeployment) apply(hostNames []string, serverAddress string) error {
	resources := []resource.Resource{
		resource.DataCentre{Name: "ilo", EntryHosts: hostNames},
		resource.Service{Name: "inventario", DividedByKey: true, Slots: 16, MaxBodyBytes: 1 << 16, MaxAttempt: duration.Of(time.Second)},
		resource.BackendServer{Name: "inventario-1", Service: "inventario", DataCentre: "ilo", Address: serverAddress, Slots: hopServerSlots, Connections: hopServerConnections},
		resource.Rank{Name: "stock", Target: duration.Of(time.Second), QueueLimit: 1000, Default: true},
	}
	text, err := configuration.FormatResources(resources)
	if err != nil {
		return err
	}
	// A submission has an ID and an author, and lists its resources under Declare.
	body := strings.Replace(string(text), `"Resources"`, `"ID":"hop","By":"measure","Declare"`, 1)
	deadline := time.Now().Add(5 * time.Second)
	for {
		r, err := http.NewRequest(http.MethodPost, d.operatorURLs[0]+"/v1/changes", strings.NewReader(body))
		if err != nil {
			return err
		}
		r.Header.Set("Authorization", "Bearer "+hopToken)
		response, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("submitting the change returned status %d", response.StatusCode)
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitLeaseHolder waits until every host serves the key k, at most about 10 s, and returns the caller URL of the host that
// holds the lease on the key's owner.
func (d *hopDeployment) awaitLeaseHolder() (string, error) {
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		var answer struct {
			LeaseHolder string `json:"Steward"`
		}
		response, err := http.Get(d.operatorURLs[0] + "/v1/explain/keys/inventario/k")
		if err != nil {
			continue
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && answer.LeaseHolder != "" && d.isServed() {
			var n int
			if _, err := fmt.Sscanf(answer.LeaseHolder, "ilo-%d", &n); err == nil {
				return d.callerURLs[n-1], nil
			}
		}
	}
	return "", fmt.Errorf("not every entry host served the key k of the service inventario within 10 s")
}

// isServed reports whether every host answers a request for the key k with status 200.
func (d *hopDeployment) isServed() bool {
	for _, base := range d.callerURLs {
		response, err := http.Get(base + "/v1/services/inventario/keys/k")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// freeAddresses returns n loopback addresses with free ports. It keeps all listeners open until it returns, so that no port
// appears twice.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// startServer serves HTTP on an address until the tasks are canceled. If it can't listen on the address, it starts nothing and
// returns no error; without the platform or the backend server, apply or awaitLeaseHolder then fails.
func startServer(tasks *task.Group, address string, s *http.Server) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return
	}
	tasks.Go(func(context.Context) { _ = s.Serve(listener) })
	tasks.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = s.Close()
	})
}
