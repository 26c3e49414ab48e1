package ingress

import (
	"io"
	"time"

	"redwingsill/core/outcome"
	"redwingsill/core/placement"
	"redwingsill/core/upload"
	"redwingsill/core/uploads"
	"redwingsill/io/origin"
)

// longBody is an admitted body. A nil longBody is a body that is not decided on. Only the goroutine of its request uses it.
type longBody struct {
	upload upload.Upload
	// weight is that of the admission.
	weight float64
	owner  *longBodies
	// from is the body on the connection.
	from io.ReadCloser
	// readAt is the time at which the end of the body was read.
	readAt time.Time
}

// Read implements io.Reader.
func (b *longBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if n > 0 {
		b.update(func(old uploads.Uploads) uploads.Uploads { return old.WithRead(b.upload.ID, int64(n)) })
	}
	if err == io.EOF {
		b.readAt = b.owner.now()
		b.update(func(old uploads.Uploads) uploads.Uploads { return old.WithWhole(b.upload.ID) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *longBody) Close() error { return b.from.Close() }

// send notes that the body is being sent to a backend server.
func (b *longBody) send() {
	if b != nil {
		now := b.owner.now()
		b.update(func(old uploads.Uploads) uploads.Uploads { return old.WithSending(b.upload.ID, now) })
	}
}

// record notes what became of the request.
func (b *longBody) record(response *origin.Response, failure outcome.Outcome) {
	if b == nil {
		return
	}
	now := b.owner.now()
	refused, isRefused := failure.(outcome.NotRun)
	switch {
	case response != nil:
		b.update(func(old uploads.Uploads) uploads.Uploads {
			return old.WithServed(b.upload, b.weight, now.Sub(b.readAt), now)
		})
	case isRefused && (refused.Reason == string(placement.Overload) || refused.Reason == string(placement.Expired)):
		b.update(func(old uploads.Uploads) uploads.Uploads {
			return old.WithRefused(b.upload, b.weight, refused.RetryAfter, now)
		})
	}
}

// end notes the end of the request.
func (b *longBody) end() {
	if b != nil {
		b.update(func(old uploads.Uploads) uploads.Uploads { return old.Without(b.upload.ID) })
	}
}

func (b *longBody) update(change func(uploads.Uploads) uploads.Uploads) { b.owner.state.Update(change) }
