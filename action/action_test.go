package action_test

import (
	"errors"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sycamorespread.dev/action"
	"sycamorespread.dev/sycapb"
)

func TestKeyPutsClassFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.Uint32Range(0, action.MaxRank)
		a, b := ranks.Draw(t, "a"), ranks.Draw(t, "b")
		ka, kb := action.KeyOf(a, action.NewID()), action.KeyOf(b, action.NewID())
		if a < b && ka >= kb {
			t.Fatalf("rank %d has key %d, rank %d has key %d", a, ka, b, kb)
		}
		if ka.Rank() != a {
			t.Fatalf("key of rank %d says rank %d", a, ka.Rank())
		}
		if !action.AdmitAll.Admits(ka) {
			t.Fatalf("open level sheds %d", ka)
		}
	})
}

func TestParseIDNamesTheField(t *testing.T) {
	convey.Convey("A malformed ID is an InvalidError", t, func() {
		for _, b := range [][]byte{nil, make([]byte, 15), make([]byte, 16), make([]byte, 17)} {
			_, err := action.ParseID(b)
			var bad *action.InvalidError
			convey.So(errors.As(err, &bad), convey.ShouldBeTrue)
			convey.So(bad.Field, convey.ShouldEqual, "action_id")
		}
	})
}

func TestVerifyFindsEveryMismatch(t *testing.T) {
	id := action.NewID()
	call := &sycapb.Call{ActionId: id[:], AttemptId: 7}
	whole := func() *sycapb.Reply {
		body := []byte("answer")
		return &sycapb.Reply{ActionId: id[:], AttemptId: 7, Body: body, Length: 6, Digest: action.Digest(body)}
	}
	convey.Convey("A whole reply passes and each change is found", t, func() {
		convey.So(action.Verify(call, whole()), convey.ShouldBeNil)
		for field, change := range map[string]func(*sycapb.Reply){
			"action_id":  func(r *sycapb.Reply) { r.ActionId = make([]byte, 16) },
			"attempt_id": func(r *sycapb.Reply) { r.AttemptId = 8 },
			"length":     func(r *sycapb.Reply) { r.Body = r.Body[:3] },
			"digest":     func(r *sycapb.Reply) { r.Body = []byte("answeR") },
		} {
			r := whole()
			change(r)
			var bad *action.MismatchError
			convey.So(errors.As(action.Verify(call, r), &bad), convey.ShouldBeTrue)
			convey.So(bad.Field, convey.ShouldEqual, field)
		}
	})
}
