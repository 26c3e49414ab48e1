package bodybudget_test

import (
	"strings"
	"testing"
	"time"

	"redwingsill/core/kind"
	"redwingsill/io/bodybudget"
)

// The buffer for an announced length doesn't grow, so that reading on into it would never end.
func TestBodyBeyondItsAnnouncedLengthIsRejected(t *testing.T) {
	ended := make(chan error, 1)
	go func() {
		var bodies bodybudget.BodyBudget
		_, err := bodies.Read(strings.NewReader("text"), 0, 10)
		ended <- err
	}()
	select {
	case err := <-ended:
		if !kind.Is(err, kind.Invalid) {
			t.Errorf("error %v, want Invalid", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the read does not end")
	}
}
