package bodybudget_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"redwingsill/io/bodybudget"
)

func TestReadsBodiesUpToTheLimit(t *testing.T) {
	const limit = 200 << 10
	for _, size := range []int{0, 1, 16 << 10, 64 << 10, limit - 1, limit, limit + 1} {
		content := bytes.Repeat([]byte("a"), size)
		for _, length := range []int64{-1, int64(size)} {
			for name, from := range map[string]io.Reader{"at once": bytes.NewReader(content), "in halves": iotest.HalfReader(bytes.NewReader(content)),
				"with EOF": iotest.DataErrReader(bytes.NewReader(content))} {
				var b bodybudget.BodyBudget
				got, err := b.Read(from, length, limit)
				if isTooLong := size > limit; (err != nil) != isTooLong || !isTooLong && !bytes.Equal(got, content) {
					t.Errorf("%d bytes of length %d %s: got %d bytes and error %v", size, length, name, len(got), err)
				}
			}
		}
	}
}

func TestBudgetIsFreeAgainAfterEachBody(t *testing.T) {
	var b bodybudget.BodyBudget
	content := make([]byte, 16<<20)
	for range 4 {
		if _, err := b.Read(bytes.NewReader(content), -1, 16<<20); err != nil {
			t.Fatal(err)
		}
		if _, err := b.Read(iotest.TimeoutReader(bytes.NewReader(content)), -1, 16<<20); err == nil {
			t.Fatal("a body that fails in its second read gave no error")
		}
	}
}

func TestShortBodiesAreReadBesideLongOnes(t *testing.T) {
	var b bodybudget.BodyBudget
	from, into := io.Pipe()
	ended := make(chan error, 2)
	go func() {
		_, err := b.Read(from, -1, 16<<20)
		ended <- err
	}()
	if _, err := into.Write(make([]byte, 15<<20)); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Read(bytes.NewReader(make([]byte, 16<<20)), -1, 16<<20); err == nil {
		t.Error("two bodies of 16 MB were read at the same time, want an error for the second")
	}
	if got, err := b.Read(bytes.NewReader(make([]byte, 40<<10)), -1, 16<<20); err != nil || len(got) != 40<<10 {
		t.Errorf("a short body beside a long one gave %d bytes and error %v", len(got), err)
	}
	_ = into.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestLongBodiesLeaveRoomForShorterOnes(t *testing.T) {
	const total = 1 << 20
	b := bodybudget.NewFair(total, 1<<10)
	for range 1000 { // those that are read stay
		if _, release, err := b.ReadAndHold(bytes.NewReader(make([]byte, 200<<10)), -1, 200<<10); err != nil {
			release()
		}
	}
	if reserved := b.Reserved(); reserved < total/4 || reserved > total {
		t.Errorf("%d bytes are in use, want many of %d", reserved, total)
	}
	if got, release, err := b.ReadAndHold(bytes.NewReader(make([]byte, 60<<10)), -1, 200<<10); err != nil || len(got) != 60<<10 {
		t.Errorf("a shorter body beside long ones gave %d bytes and error %v", len(got), err)
	} else {
		release()
	}
	if _, err := b.Hold(total); err == nil {
		t.Error("a head of the size of the budget fits beside bodies")
	}
}

func TestBudgetIsFreeAgainAfterEachHold(t *testing.T) {
	b := bodybudget.NewFair(1<<20, 1<<10)
	for range 10 {
		release, err := b.Hold(400 << 10)
		if err != nil {
			t.Fatal(err)
		}
		release()
	}
	if reserved := b.Reserved(); reserved != 0 {
		t.Errorf("%d bytes are in use, want none", reserved)
	}
}
