package action_test

import (
	"errors"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sycamorespread.dev/action"
	"sycamorespread.dev/sycapb"
)

func TestKeyOrdersByClassFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.Uint32Range(0, action.MaxRank)
		a, b := ranks.Draw(t, "a"), ranks.Draw(t, "b")
		ka, kb := action.KeyOf(a, action.NewID()), action.KeyOf(b, action.NewID())
		if a < b && ka >= kb {
			t.Fatalf("rank %d has key %d, which is not below rank %d with key %d", a, ka, b, kb)
		}
		if ka.Rank() != a {
			t.Fatalf("the key of rank %d has rank %d", a, ka.Rank())
		}
		if !action.AdmitAll.Admits(ka) {
			t.Fatalf("AdmitAll does not admit key %d", ka)
		}
	})
}

func TestParseIDReportsTheField(t *testing.T) {
	convey.Convey("A malformed ID is an InvalidError", t, func() {
		for _, raw := range [][]byte{nil, make([]byte, 15), make([]byte, 16), make([]byte, 17)} {
			_, err := action.ParseID(raw)
			var invalid *action.InvalidError
			convey.So(errors.As(err, &invalid), convey.ShouldBeTrue)
			convey.So(invalid.Field, convey.ShouldEqual, "action_id")
		}
	})
}

func TestVerifyFindsEveryMismatch(t *testing.T) {
	id := action.NewID()
	call := &sycapb.Call{ActionId: id[:], AttemptId: 7}
	validReply := func() *sycapb.Reply {
		body := []byte("answer")
		return &sycapb.Reply{ActionId: id[:], AttemptId: 7, Body: body, Length: 6, Digest: action.Digest(body)}
	}
	convey.Convey("A valid reply passes and every mismatch is reported", t, func() {
		convey.So(action.Verify(call, validReply()), convey.ShouldBeNil)
		for field, corrupt := range map[string]func(*sycapb.Reply){
			"action_id":  func(reply *sycapb.Reply) { reply.ActionId = make([]byte, 16) },
			"attempt_id": func(reply *sycapb.Reply) { reply.AttemptId = 8 },
			"length":     func(reply *sycapb.Reply) { reply.Body = reply.Body[:3] },
			"digest":     func(reply *sycapb.Reply) { reply.Body = []byte("answeR") },
		} {
			reply := validReply()
			corrupt(reply)
			var mismatch *action.MismatchError
			convey.So(errors.As(action.Verify(call, reply), &mismatch), convey.ShouldBeTrue)
			convey.So(mismatch.Field, convey.ShouldEqual, field)
		}
	})
}
