package peer

import (
	"bytes"
	"testing"
)

// FuzzDecode checks that no bytes of a peer make decoding panic, and that what decodes encodes again.
func FuzzDecode(f *testing.F) {
	for _, kind := range []string{"Follow", "Followed", "Report", "Beat", "Adopt", "Adopted", "Ask", "Told", "Other"} {
		f.Add(kind, []byte(`{"Term":1,"Ticket":2,"NotRun":{"Reason":"x"}}`))
	}
	f.Fuzz(func(t *testing.T, kind string, text []byte) {
		m, err := decode(envelope{Kind: kind, Message: text})
		if err != nil {
			return
		}
		if _, err := encode(m); err != nil {
			t.Errorf("%s decodes but does not encode: %v", kind, err)
		}
	})
}

// FuzzReadFrame checks that a frame never takes more memory than its limit.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, '{', '}'})
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, text []byte) {
		frame, err := readFrame(bytes.NewReader(text), 1<<10)
		if err == nil && len(frame) > 1<<10 {
			t.Errorf("a frame of %d bytes is over the limit", len(frame))
		}
	})
}
