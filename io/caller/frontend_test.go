package caller_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/assignment"
	"redwingsill/core/example"
	"redwingsill/core/outcome"
	"redwingsill/core/problem"
	"redwingsill/core/request"
	"redwingsill/core/resource"
	"redwingsill/core/snapshot"
	"redwingsill/core/view"
	"redwingsill/io/caller"
)

func TestFrontEnd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "FrontEnd")
}

// fakeHost returns the same outcome for every request and keeps the last request.
type fakeHost struct {
	outcome outcome.Outcome
	last    request.Request
	ready   bool
}

func (h *fakeHost) Now() time.Time { return time.Now() }

func (h *fakeHost) Snapshot() *snapshot.Snapshot {
	c := example.Size{Hosts: 1, Servers: 1, ServerSlots: 1, HashSlots: 4}.Configuration().
		With(resource.Service{Name: "despacho", Slots: 4, MaxBodyBytes: 10})
	s := snapshot.New("ilo-1", example.DataCentre, c, assignment.Assignment{}, view.View{}).WithState(h.ready, false)
	return &s
}

func (h *fakeHost) Serve(_ context.Context, r request.Request) outcome.Outcome {
	h.last = r
	return h.outcome
}

func send(h *fakeHost, method, path, body string, headers ...string) *http.Response {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	caller.New(h).Handler().ServeHTTP(w, r)
	return w.Result()
}

// idAhead returns a UUID of version 7 whose time is d ahead of now.
func idAhead(d time.Duration) string {
	id := uuid.Must(uuid.NewV7())
	millis := time.Now().Add(d).UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (8 * (5 - i)))
	}
	return id.String()
}

var _ = Describe("a caller", func() {
	DescribeTable("gets the outcome as a status code and a header", func(o outcome.Outcome, status int, name string) {
		response := send(&fakeHost{outcome: o, ready: true}, http.MethodPost, "/v1/services/inventario/keys/k", "{}")
		Expect(response.StatusCode).To(Equal(status))
		Expect(response.Header.Get(caller.HeaderOutcome)).To(Equal(name))
	},
		Entry("answered", outcome.Answered{Status: 201, Body: []byte("x")}, 201, "Answered"),
		Entry("an error from the backend server", outcome.Answered{Status: 500}, 500, "Answered"),
		Entry("a 503 of the backend server, which may have run the request", outcome.Answered{Status: 503, Attributes: map[string]string{"Header-Retry-After": "1"}}, 503, "Answered"),
		Entry("not run", outcome.NotRun{Reason: "full"}, 503, "NotRun"),
		Entry("unknown", outcome.Unknown{Reason: "lost"}, 504, "Unknown"),
	)

	DescribeTable("gets the name of the invalid field", func(path, body, field string, status int, headers ...string) {
		h := &fakeHost{outcome: outcome.Answered{Status: 200}, ready: true}
		response := send(h, http.MethodPost, path, body, headers...)
		Expect(response.StatusCode).To(Equal(status))
		Expect(response.Header.Get(caller.HeaderOutcome)).To(Equal("NotRun"))
		var p problem.Problem
		Expect(json.NewDecoder(response.Body).Decode(&p)).To(Succeed())
		Expect(p.Path).To(Equal(field))
		Expect(p.Allowed).NotTo(BeEmpty())
		Expect(h.last).To(Equal(request.Request{}), "the request was forwarded")
	},
		Entry("an unknown path", "/v2", "", "path", 404),
		Entry("an unknown service", "/v1/services/none/keys/k", "", "service", 404),
		Entry("a missing key", "/v1/services/inventario", "", "key", 400),
		Entry("a key for a service that is not divided by key", "/v1/services/despacho/keys/k", "", "key", 400),
		Entry("a long key", "/v1/services/inventario/keys/"+strings.Repeat("k", 600), "", "key", 400),
		Entry("an unknown rank", "/v1/services/despacho", "", caller.HeaderRank, 400, caller.HeaderRank, "none"),
		Entry("a deadline without a unit", "/v1/services/despacho", "", caller.HeaderDeadline, 400, caller.HeaderDeadline, "5"),
		Entry("a deadline that has passed", "/v1/services/despacho", "", caller.HeaderDeadline, 400, caller.HeaderDeadline, "-1s"),
		Entry("a deadline beyond a day", "/v1/services/despacho", "", caller.HeaderDeadline, 400, caller.HeaderDeadline, "25h"),
		Entry("an ID that is not a UUID", "/v1/services/despacho", "", caller.HeaderRequestID, 400, caller.HeaderRequestID, "one"),
		Entry("an ID of another UUID version", "/v1/services/despacho", "", caller.HeaderRequestID, 400, caller.HeaderRequestID, uuid.NewString()),
		Entry("an ID whose time is in the future", "/v1/services/despacho", "", caller.HeaderRequestID, 400, caller.HeaderRequestID, idAhead(time.Minute)),
		Entry("a body over the limit", "/v1/services/despacho", "more than ten bytes", "body", 413),
	)

	It("whose clock is slightly ahead has its request held until the time in the request ID", func() {
		h := &fakeHost{outcome: outcome.Answered{Status: 200}, ready: true}
		id := idAhead(150 * time.Millisecond)
		began := time.Now()
		response := send(h, http.MethodPost, "/v1/services/despacho", "", caller.HeaderRequestID, id)
		Expect(response.StatusCode).To(Equal(200))
		Expect(time.Since(began)).To(BeNumerically(">", 100*time.Millisecond))
		Expect(h.last.IssuedAt.After(time.Now())).To(BeFalse())
	})

	It("has path, query, method and allowed headers forwarded, and gets the headers of the response", func() {
		h := &fakeHost{outcome: outcome.Answered{Status: 200, Attributes: map[string]string{"Header-X-Lot": "7"}}, ready: true}
		response := send(h, http.MethodPut, "/v1/services/inventario/keys/a%2Fb/lots/7?q=1", "{}", "X-Depot", "ilo", "Cookie", "no",
			caller.HeaderCaller, "tannery", caller.HeaderRank, "dispatch")
		Expect(h.last.Key).To(Equal("a/b"))
		Expect(h.last.Attributes).To(Equal(map[string]string{"Method": "PUT", "Path": "/lots/7?q=1", "Header-X-Depot": "ilo"}))
		Expect(h.last.Rank).To(Equal("dispatch"))
		Expect(h.last.Caller).To(Equal("tannery"))
		Expect(response.Header.Get("X-Lot")).To(Equal("7"))
		_, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
	})

	It("gets status 503 while the host is not ready", func() {
		Expect(send(&fakeHost{}, http.MethodGet, "/v1/services/despacho", "").StatusCode).To(Equal(503))
	})
})
