package policy_test

import (
	"context"
	"errors"
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/policy"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
)

// FuzzStored reads an arbitrary policy head and arbitrary changes from the store. A change that is
// accepted has the next revision, an approving review and a valid text, and the read ends.
func FuzzStored(f *testing.F) {
	approved := []*sycapb.Review{{}, {Author: "bent", Approve: true}}
	add := func(head *sycapb.Head, c, other *sycapb.Change) {
		var seed [3][]byte
		for n, m := range []proto.Message{head, c, other} {
			b, err := proto.Marshal(m)
			if err != nil {
				f.Fatal(err)
			}
			seed[n] = b
		}
		f.Add(seed[0], seed[1], seed[2])
	}
	add(&sycapb.Head{Revision: 3, ChangeId: "b"}, &sycapb.Change{Id: "c", Author: "anna", Text: validPolicy, BaseRevision: 3, BaseChange: "b", Reviews: approved}, nil)
	add(&sycapb.Head{Revision: math.MaxUint64, ChangeId: "b"}, &sycapb.Change{Id: "c", Author: "anna", Text: validPolicy, BaseRevision: math.MaxUint64, BaseChange: "b", Reviews: approved}, nil)
	add(&sycapb.Head{Revision: 3, ChangeId: "b"}, &sycapb.Change{Id: "d", Author: "anna", Text: validPolicy, BaseRevision: 3, BaseChange: "b", Reviews: approved}, nil)
	add(&sycapb.Head{Revision: 9, ChangeId: "other"}, &sycapb.Change{Id: "c", Author: "anna", Text: validPolicy, BaseRevision: 3, Reviews: approved}, &sycapb.Change{Id: "other", BaseRevision: 8, BaseChange: "other"})
	f.Fuzz(func(t *testing.T, head, change, other []byte) {
		p := newFakePlatform()
		for n, value := range [][]byte{head, change, other} {
			key := []string{policy.HeadKey, "policy/change/c", "policy/change/other"}[n]
			p.items[key] = store.Item{Key: key, Value: value, Revision: store.Revision{Number: uint64(n + 1)}}
		}
		r := p.registry(false)
		get, reads := r.Get, 0
		r.Get = func(ctx context.Context, key string) (store.Item, error) {
			if reads++; reads > 1000 {
				return store.Item{}, errors.New("too many reads")
			}
			return get(ctx, key)
		}
		before, headErr := policy.ParseHead(head)
		revision, err := r.Accept(context.Background(), "c")
		if reads > 1000 {
			t.Error("the read does not end")
		}
		if err != nil {
			return
		}
		after, afterErr := policy.ParseHead(p.items[policy.HeadKey].Value)
		c := new(sycapb.Change)
		if headErr != nil || afterErr != nil || proto.Unmarshal(change, c) != nil {
			t.Fatalf("accepted with the head %x and the change %x", head, change)
		}
		if _, err := policy.Parse(c.Text); err != nil || c.Id != "c" || len(c.Reviews) == 0 || revision == 0 || after.Revision < before.Revision {
			t.Errorf("accepted %v as revision %d; the head was %v and is %v", c, revision, before, after)
		}
	})
}
