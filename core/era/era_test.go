package era_test

import (
	"testing"

	"redwingsill/core/era"
)

// Guards against a position of an earlier era that compares as newer, and against a changed position without eras.
func TestPositionsOfLaterErasAreHigher(t *testing.T) {
	if got := era.Era(0).Position(7); got != 7 {
		t.Errorf("revision 7 of era 0 has the position %d", got)
	}
	older, newer := era.Era(1).Position(era.MaxRevision), era.Era(2).Position(1)
	if older >= newer || older > era.Era(2).Start() || era.Of(older) != 1 || era.Of(newer) != 2 || era.Revision(newer) != 1 {
		t.Errorf("positions %d of era %d and %d of era %d", older, era.Of(older), newer, era.Of(newer))
	}
}

// Guards against a token that an earlier coordinator may have used, or one that JSON decoders round.
func TestRaisedFenceIsAboveLostBlocks(t *testing.T) {
	const block = 1 << 20
	written := int64(5 * block)
	lost := era.Era(2).RaisedFence(written, 1) + 100*block // reserved in era 2, and gone with it
	if got := era.Era(3).RaisedFence(written, 1); got <= lost {
		t.Errorf("token %d in era 3, %d was reserved in era 2", got, lost)
	}
	if got := era.Era(1).RaisedFence(written, 1); got != written {
		t.Errorf("token %d without a new era, want %d", got, written)
	}
	if got := era.Max.RaisedFence(written, 0); got >= 1<<53 {
		t.Errorf("token %d in the last era does not fit into JSON", got)
	}
}
