package origin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"redwingsill/core/instance"
	"redwingsill/io/origin"
)

func TestIdleConnectionIsReusedAfterTheDeadlineOfItsLastRequest(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	t.Cleanup(server.Close)
	client, closeClient := origin.New(names, time.Now)
	t.Cleanup(closeClient)
	to := instance.Instance{ID: "i-1", Address: server.Listener.Addr().String()}
	const timeout = 200 * time.Millisecond
	for want := range int64(2) {
		response, _, err := client.Send(context.Background(), to, origin.Request{Method: http.MethodPost, Target: "/", Host: to.Address,
			Deadline: time.Now().Add(timeout)}, 1)
		if err != nil {
			t.Fatal(err)
		}
		if response.Ordinal != want+1 {
			t.Errorf("request %d is the first on its connection, want the one of the request before", want+1)
		}
		time.Sleep(timeout + 50*time.Millisecond)
	}
}
