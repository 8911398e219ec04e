package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/load"
	"sycamorespread.dev/runlog"
	"sycamorespread.dev/sycapb"
)

const (
	// proveLoadRatio is the demand, as a ratio of the bottleneck's capacity.
	proveLoadRatio = 0.3
	// proveSurgeFactor multiplies the demand while the bottleneck is slowed.
	proveSurgeFactor = 3
	// proveMaxResends is the maximum number of resends of a caller.
	proveMaxResends = 4
	// serverRestartDelay is the time between the exit and the restart of a backend server.
	serverRestartDelay = time.Second
	// maxCrashesPerPoison is the maximum number of backend servers that one poison request may crash
	// on each side of a network partition; the sides cannot warn each other.
	maxCrashesPerPoison = 2
	// minEndSuccessRatio is the minimum ratio of successful actions in the last third of recoveryTime.
	minEndSuccessRatio = 0.95
	// restoreDelay is how long the daemons have to read the restored store.
	restoreDelay = 1500 * time.Millisecond
	// revisionPollInterval is how often the policy revisions of the daemons are read.
	revisionPollInterval = 500 * time.Millisecond
	// poisonExitCode is the exit code of a backend server that crashed on a poison request.
	poisonExitCode = 3
)

// prover runs a deployment under a random schedule of faults and checks the invariants.
type prover struct {
	c    *cluster
	seed uint64
	g    *errgroup.Group

	partitionMu, storeFaultMu, slowMu, raceMu sync.Mutex

	surge       atomic.Bool
	poisonCount atomic.Int64
	// maxCrashes is the maximum number of crashes that the poison requests so far may have caused.
	maxCrashes    atomic.Int64
	isPartitioned atomic.Bool
	crashes       atomic.Int64
	stopping      atomic.Bool
	acceptResults []acceptResult
	// log records the faults.
	log           *runlog.Recorder
	maxRevisions  map[string]uint64
	revisionDrops []string
}

// invariantError reports an invariant that does not hold.
type invariantError struct {
	invariant, detail string
}

func (e *invariantError) Error() string {
	return e.invariant + ": " + e.detail
}

func proveCommand(bin, dir *string) *cobra.Command {
	var seed uint64
	var duration time.Duration
	var name, runFile string
	c := &cobra.Command{Use: "prove", Short: "Run load under a random schedule of all faults", Args: cobra.NoArgs}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the faults and the load")
	c.Flags().DurationVar(&duration, "duration", time.Minute, "duration of the load")
	c.Flags().StringVar(&name, "deployment", "kolonihave", "deployment to run: kolonihave or ballonbuch")
	c.Flags().StringVar(&runFile, "run", "", "file to which the run is logged, for sycload report")
	c.RunE = func(c *cobra.Command, _ []string) error {
		top, err := topologyOf(name)
		if err != nil {
			return err
		}
		opt := options{bin: *bin, dir: *dir, mode: "full", level: "info", leaveWait: 3 * time.Second, relay: true, runFile: runFile}
		rec, err := prove(c.Context(), top, opt, seed, duration)
		var broken *invariantError
		if errors.As(err, &broken) {
			fmt.Println(broken)
			fmt.Printf("prove: broken %s seed=%d\n", broken.invariant, seed)
			return errors.Errorf("logs are in %s", *dir)
		}
		if err != nil {
			return err
		}
		fmt.Printf("prove: ok seed=%d actions=%d broken=0\n", seed, rec.Sum().Offered)
		return nil
	}
	return c
}

func prove(ctx context.Context, top topology, opt options, seed uint64, duration time.Duration) (*load.Recorder, error) {
	top.kinds = append(slices.Clone(top.kinds), top.proveKinds...)
	c, err := newCluster(top, opt)
	if err != nil {
		return nil, err
	}
	p := &prover{c: c, seed: seed, maxRevisions: map[string]uint64{}}
	rec, err := p.run(ctx, duration)
	p.stopping.Store(true)
	if stopErr := c.stop(); err == nil && stopErr != nil {
		err = &invariantError{invariant: "graceful", detail: stopErr.Error()}
	}
	if err != nil {
		return rec, err
	}
	return rec, p.checkLogs()
}

func (p *prover) run(ctx context.Context, duration time.Duration) (*load.Recorder, error) {
	if err := p.c.start(ctx); err != nil {
		return nil, err
	}
	if _, err := p.c.installPolicy(ctx, p.c.top.policy); err != nil {
		return nil, err
	}
	faults := schedule(p.seed, duration, len(p.c.instances))
	base := proveLoadRatio * p.c.top.capacity() / p.c.top.bottleneckRatio()
	gen := load.New(load.Config{
		Client:   p.c.client(proveMaxResends),
		Kinds:    p.c.top.kinds,
		Rate:     func(time.Duration) float64 { return base * p.loadFactor() },
		Duration: duration,
		Seed:     p.seed,
		BodySize: 256,
	})
	start := time.Now()
	p.log = runlog.NewRecorder("prove "+p.c.top.name, p.seed, start)
	watch, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	background, inner := errgroup.WithContext(watch)
	background.Go(func() error { return p.superviseLoop(inner) })
	background.Go(func() error { return p.revisionLoop(inner) })
	g, inner := errgroup.WithContext(ctx)
	p.g = g
	g.Go(func() error {
		gen.Run(inner)
		return nil
	})
	for _, f := range faults {
		g.Go(func() error {
			wait(inner, f.at-time.Since(start))
			fmt.Printf("at=%s fault=%s target=%s length=%s\n", f.at.Round(time.Millisecond), f.kind, p.c.instances[f.target].id, f.duration.Round(time.Millisecond))
			end := p.log.StartFault(time.Now(), f.kind.String(), p.c.instances[f.target].id)
			defer func() { end(time.Now()) }()
			return p.inject(inner, f)
		})
	}
	err := g.Wait()
	if logErr := p.writeRun(gen.Recorder(), start, duration); err == nil {
		err = logErr
	}
	if err != nil {
		return gen.Recorder(), err
	}
	err = p.checkInvariants(ctx, gen.Recorder(), duration)
	stopWatch()
	if waitErr := background.Wait(); err == nil {
		err = waitErr
	}
	return gen.Recorder(), err
}

func (p *prover) loadFactor() float64 {
	if p.surge.Load() {
		return proveSurgeFactor
	}
	return 1
}

// superviseLoop restarts backend servers that exited, as the platform does.
func (p *prover) superviseLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		wait(ctx, pollInterval)
		for _, i := range p.c.instances {
			if err := p.restartServer(ctx, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *prover) restartServer(ctx context.Context, i *instance) error {
	i.serverMu.Lock()
	defer i.serverMu.Unlock()
	select {
	case <-i.server.done:
	default:
		return nil
	}
	if p.stopping.Load() || ctx.Err() != nil {
		return nil
	}
	if i.exitedAt.IsZero() {
		i.exitedAt = time.Now()
		if i.server.cmd.ProcessState.ExitCode() == poisonExitCode {
			p.crashes.Add(1)
		}
	}
	if time.Since(i.exitedAt) < serverRestartDelay {
		return nil
	}
	i.exitedAt = time.Time{}
	return p.c.startServer(i)
}

// revisionLoop checks that the policy revision of a daemon never decreases while its process lives.
func (p *prover) revisionLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		wait(ctx, revisionPollInterval)
		for _, i := range p.c.instances {
			p.readRevision(ctx, i)
		}
	}
	return nil
}

func (p *prover) readRevision(ctx context.Context, i *instance) {
	ctx, cancel := context.WithTimeout(ctx, revisionPollInterval)
	defer cancel()
	pid := i.daemon.cmd.Process.Pid
	r, err := p.c.operator(i).Policy(ctx, connect.NewRequest(&sycapb.PolicyRequest{}))
	if err != nil {
		return
	}
	key := fmt.Sprintf("%s/%d", i.id, pid)
	if r.Msg.Revision < p.maxRevisions[key] {
		p.revisionDrops = append(p.revisionDrops, fmt.Sprintf("%s went from %d to %d", key, p.maxRevisions[key], r.Msg.Revision))
	}
	p.maxRevisions[key] = max(p.maxRevisions[key], r.Msg.Revision)
}

// checkInvariants checks the invariants after the load has ended.
func (p *prover) checkInvariants(ctx context.Context, rec *load.Recorder, duration time.Duration) error {
	runs, err := p.c.checkRuns(rec)
	if err != nil {
		return err
	}
	sum := rec.Sum()
	end := rec.Started(duration-recoveryTime/3, duration)
	fmt.Printf("offered=%d whole=%d notrun=%d failed=%d unknown=%d sends=%d runs_most=%d poisons=%d crashes=%d end=%d/%d\n",
		sum.Offered, sum.Succeeded, sum.NotRun, sum.Failed, sum.Unknown, sum.Sends, runs.MaxPerAction, p.poisonCount.Load(), p.crashes.Load(), end.Succeeded, end.Offered)
	printReasons("prove", rec)
	switch {
	case sum.Mismatched > 0:
		return &invariantError{invariant: "answer", detail: fmt.Sprint(sum.Mismatched, " ", rec.Mismatches())}
	case len(runs.Duplicates) > 0:
		return &invariantError{invariant: "once", detail: strings.Join(runs.Duplicates, "; ")}
	case len(runs.FalseNotRun) > 0:
		return &invariantError{invariant: "notrun", detail: strings.Join(runs.FalseNotRun, "; ")}
	case runs.MaxPerAction > callerAllowance:
		return &invariantError{invariant: "allowance", detail: fmt.Sprintf("%d runs of one action, %d allowed", runs.MaxPerAction, callerAllowance)}
	case p.crashes.Load() > p.maxCrashes.Load():
		return &invariantError{invariant: "poison", detail: fmt.Sprintf("%d crashes by %d poison requests", p.crashes.Load(), p.poisonCount.Load())}
	case len(p.revisionDrops) > 0:
		return &invariantError{invariant: "revision", detail: strings.Join(p.revisionDrops, "; ")}
	case float64(end.Succeeded) < minEndSuccessRatio*float64(end.Offered):
		return &invariantError{invariant: "recovery", detail: fmt.Sprintf("%d of %d actions succeeded at the end", end.Succeeded, end.Offered)}
	}
	if err := p.checkMembers(ctx); err != nil {
		return err
	}
	if err := p.checkPolicy(ctx); err != nil {
		return err
	}
	return p.checkRestoredHead(ctx)
}

// checkRestoredHead restores the store with an old policy head, and checks that no daemon
// applies that head and that no change is accepted on top of it.
func (p *prover) checkRestoredHead(ctx context.Context) error {
	if _, err := p.c.installPolicy(ctx, p.c.top.policy+"; before the restore\n"); err != nil {
		return err
	}
	before := p.c.revision(ctx, p.c.instances[0])
	if _, err := p.c.setStoreFaults(ctx, &sycapb.StoreFaults{RestoreOldestHead: true}); err != nil {
		return err
	}
	wait(ctx, restoreDelay)
	for _, i := range p.c.instances {
		if rev := p.c.revision(ctx, i); rev != before {
			return &invariantError{invariant: "restored", detail: fmt.Sprintf("%s went from %d to %d", i.id, before, rev)}
		}
	}
	if _, err := p.c.installPolicy(ctx, p.c.top.policy+"; after the restore\n"); err == nil {
		return &invariantError{invariant: "restored", detail: "a change was accepted on top of the old head"}
	}
	return nil
}

// revision returns the policy revision in force at a daemon, or 0 if the daemon doesn't respond.
func (c *cluster) revision(ctx context.Context, i *instance) uint64 {
	r, err := c.operator(i).Policy(ctx, connect.NewRequest(&sycapb.PolicyRequest{}))
	if err != nil {
		return 0
	}
	return r.Msg.Revision
}

// checkMembers checks that every daemon lists all members as alive.
func (p *prover) checkMembers(ctx context.Context) error {
	for _, i := range p.c.instances {
		if n := p.c.liveMembers(ctx, i); n != len(p.c.instances) {
			return &invariantError{invariant: "members", detail: fmt.Sprintf("%s lists %d of %d members as alive", i.id, n, len(p.c.instances))}
		}
	}
	return nil
}

// checkPolicy compares the results of accept calls with the policy history, and checks that the
// head is in force at every daemon.
func (p *prover) checkPolicy(ctx context.Context) error {
	h, err := p.c.operator(p.c.instances[0]).History(ctx, connect.NewRequest(&sycapb.HistoryRequest{}))
	if err != nil {
		return errors.Wrap(err, "history")
	}
	inHistory := map[string]bool{}
	for _, c := range h.Msg.Changes {
		inHistory[c.Id] = true
	}
	for _, a := range p.acceptResults {
		switch {
		case a.result == sycapb.AcceptResult_ACCEPT_RESULT_ACCEPTED && !inHistory[a.id]:
			return &invariantError{invariant: "accept", detail: a.id + " was reported as accepted but is not in the history"}
		case a.result == sycapb.AcceptResult_ACCEPT_RESULT_CONFLICT && (inHistory[a.id] || !inHistory[a.winner]):
			return &invariantError{invariant: "accept", detail: a.id + " was reported as a conflict with " + a.winner}
		}
	}
	for _, i := range p.c.instances {
		r, err := p.c.operator(i).Policy(ctx, connect.NewRequest(&sycapb.PolicyRequest{}))
		if err != nil {
			return errors.Wrapf(err, "read policy of %s", i.id)
		}
		if r.Msg.Revision != h.Msg.Head.Revision {
			return &invariantError{invariant: "force", detail: fmt.Sprintf("%s has revision %d, the head is %d", i.id, r.Msg.Revision, h.Msg.Head.Revision)}
		}
	}
	return nil
}

// checkLogs searches the logs for panics and for invariants that daemons found broken, including
// those of daemons that were killed later.
func (p *prover) checkLogs() error {
	files, err := filepath.Glob(filepath.Join(p.c.opt.dir, "*.log"))
	if err != nil {
		return errors.Wrap(err, "logs")
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return errors.Wrap(err, "log")
		}
		for _, pattern := range []string{"invariant broken", "panic:"} {
			if at := bytes.Index(b, []byte(pattern)); at >= 0 {
				line, _, _ := strings.Cut(string(b[at:]), "\n")
				return &invariantError{invariant: "daemon", detail: filepath.Base(f) + ": " + line}
			}
		}
	}
	return nil
}
