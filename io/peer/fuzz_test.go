package peer

import (
	"bytes"
	"testing"
)

// FuzzDecode checks that decoding never panics, and that every message that decodes can be encoded again.
func FuzzDecode(f *testing.F) {
	for _, kind := range []string{"Follow", "Followed", "Report", "Beat", "Adopt", "Adopted", "Ask", "Told", "Other"} {
		f.Add(kind, []byte(`{"Term":1,"Ticket":2,"NotRun":{"Reason":"x"}}`))
	}
	f.Fuzz(func(t *testing.T, kind string, content []byte) {
		m, err := decode(envelope{Kind: kind, Message: content})
		if err != nil {
			return
		}
		if _, err := encode(m); err != nil {
			t.Errorf("%s decodes but cannot be encoded: %v", kind, err)
		}
	})
}

// FuzzReadFrame checks that readFrame never returns a message longer than the limit.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, '{', '}'})
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, content []byte) {
		message, err := readFrame(bytes.NewReader(content), 1<<10)
		if err == nil && len(message) > 1<<10 {
			t.Errorf("a message of %d bytes exceeds the limit of 1024", len(message))
		}
	})
}
