package admit_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/action"
	"sycamorespread.dev/admit"
)

const (
	usualRunTime  = 25 * time.Millisecond
	usualDeadline = 700 * time.Millisecond
	faultTime     = 4 * time.Second
)

// offerNested offers nested calls of one method, 1000 a second, to a server that is slow
// between fault and fault+faultTime. paused reports that the process of the gate stands still
// then, so that nothing arrives and no tick happens. It returns the share of the calls that ran,
// by second.
func offerNested(duration, fault time.Duration, paused bool) []float64 {
	g := admit.New(admit.Config{Slots: 34, Mode: admit.Full, Now: time.Now})
	start := time.Now()
	inFault := func() bool { return time.Since(start) >= fault && time.Since(start) < fault+faultTime }
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		for ctx.Err() == nil {
			time.Sleep(admit.TickInterval)
			if !paused || !inFault() {
				g.Tick()
			}
		}
		return nil
	})
	seconds := int(duration / time.Second)
	offered, ran := make([]int, seconds), make([]int, seconds)
	var mu sync.Mutex
	for n := 0; time.Since(start) < duration; n++ {
		time.Sleep(time.Millisecond)
		synctest.Wait()
		second := int(time.Since(start) / time.Second)
		if paused && inFault() || second >= seconds {
			continue
		}
		offered[second]++
		id := action.ID{byte(n), byte(n >> 8), byte(n >> 16)}
		group.Go(func() error {
			p, err := g.Acquire(ctx, admit.Call{ID: id, Key: action.KeyOf(1, id), Nested: true, Method: "sync", Deadline: time.Now().Add(usualDeadline)})
			if err != nil {
				return nil
			}
			end := usualRunTime
			// Runs that are open in the fault end with it.
			if left := time.Until(start.Add(fault + faultTime)); inFault() || time.Since(start)+end > fault && left > 0 {
				end = left
			}
			time.Sleep(end)
			mu.Lock()
			ran[second]++
			mu.Unlock()
			p.Release(admit.Completed)
			return nil
		})
	}
	cancel()
	_ = group.Wait()
	shares := make([]float64, seconds)
	for i := range shares {
		if offered[i] > 0 {
			shares[i] = float64(ran[i]) / float64(offered[i])
		}
	}
	return shares
}

func TestGateRejectsCallsForGoodAfterAFault(t *testing.T) {
	for name, paused := range map[string]bool{"pause of the process": true, "slow server": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const fault = 3 * time.Second
				shares := offerNested(14*time.Second, fault, paused)
				if shares[2] < 0.99 {
					t.Errorf("before the fault: shares %.2f", shares)
				}
				for i := int((fault+faultTime)/time.Second) + 2; i < len(shares); i++ {
					if shares[i] < 0.99 {
						t.Errorf("%d s after the fault: %.2f of the calls ran; all seconds %.2f", i-int((fault+faultTime)/time.Second), shares[i], shares)
						return
					}
				}
			})
		})
	}
}
