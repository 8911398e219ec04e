package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"sycamorespread.dev/burn"
	"sycamorespread.dev/sycapb"
)

func (c *client) stateCommands() []*cobra.Command {
	return []*cobra.Command{c.members(), c.burn(), c.quarantine(), c.lift(), c.drain(), c.metrics(), c.levels()}
}

func (c *client) members() *cobra.Command {
	cmd := &cobra.Command{Use: "members", Short: "List the daemons that the daemon knows", Args: cobra.NoArgs}
	cmd.RunE = func(*cobra.Command, []string) error {
		_, err := call(c, func(o sycapb.OperatorClient) func(context.Context, *connect.Request[sycapb.MembersRequest]) (*connect.Response[sycapb.MembersReply], error) {
			return o.Members
		}, &sycapb.MembersRequest{}, func(r *sycapb.MembersReply) {
			var lines []string
			for _, m := range r.Members {
				e := m.Entry
				lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%d", e.Id, e.Service, e.Region, e.Zone, memberState(m), e.Http, m.PolicyRevision))
			}
			printTable("ID\tSERVICE\tREGION\tZONE\tSTATE\tHTTP\tPOLICY", lines)
		})
		return err
	}
	return cmd
}

func memberState(m *sycapb.MemberRow) string {
	e := m.Entry
	switch {
	case m.Cut:
		return "cut"
	case e.State != sycapb.MemberState_MEMBER_STATE_ALIVE:
		return strings.ToLower(strings.TrimPrefix(e.State.String(), "MEMBER_STATE_"))
	case e.Leaving:
		return "leaving"
	case e.Down:
		return "down"
	}
	return "alive"
}

func (c *client) burn() *cobra.Command {
	req := &sycapb.BurnRequest{}
	var plotFile string
	cmd := &cobra.Command{Use: "burn", Short: "Report how fast each method burns its objective", Args: cobra.NoArgs}
	cmd.Flags().BoolVar(&req.Local, "local", false, "only of this daemon")
	cmd.Flags().StringVar(&plotFile, "plot", "", "also write a plot to this PNG file")
	cmd.RunE = func(*cobra.Command, []string) error {
		r, err := call(c, func(o sycapb.OperatorClient) func(context.Context, *connect.Request[sycapb.BurnRequest]) (*connect.Response[sycapb.BurnReply], error) {
			return o.Burn
		}, req, printBurn)
		if err != nil || plotFile == "" {
			return err
		}
		return plotBurnRate(r, plotFile)
	}
	return cmd
}

func printBurn(r *sycapb.BurnReply) {
	var lines []string
	for _, b := range r.Rows {
		short := burn.Rate(b.ShortGood, b.ShortBad, b.Objective)
		long := burn.Rate(b.LongGood, b.LongBad, b.Objective)
		lines = append(lines, fmt.Sprintf("%s\t%s.%s\t%.4f\t%d\t%d\t%.2f\t%d\t%d\t%.2f",
			b.Class, b.Service, b.Method, b.Objective, b.ShortGood, b.ShortBad, short, b.LongGood, b.LongBad, long))
	}
	printTable("CLASS\tMETHOD\tOBJECTIVE\tGOOD 5M\tBAD 5M\tBURN 5M\tGOOD 1H\tBAD 1H\tBURN 1H", lines)
	fmt.Printf("answered=%d asked=%d\n", r.Answered, r.Asked)
}

func (c *client) quarantine() *cobra.Command {
	cmd := &cobra.Command{Use: "quarantine", Short: "List the requests that crashed backend servers", Args: cobra.NoArgs}
	cmd.RunE = func(*cobra.Command, []string) error {
		_, err := call(c, func(o sycapb.OperatorClient) func(context.Context, *connect.Request[sycapb.QuarantineRequest]) (*connect.Response[sycapb.QuarantineReply], error) {
			return o.Quarantine
		}, &sycapb.QuarantineRequest{}, func(r *sycapb.QuarantineReply) {
			var lines []string
			for _, q := range r.Rows {
				state := "suspect"
				if q.Quarantined {
					state = "quarantined"
				}
				lines = append(lines, fmt.Sprintf("%016x\t%s.%s\t%s\t%s", q.Fingerprint, q.Service, q.Method, state, strings.Join(q.Crashes, ",")))
			}
			printTable("FINGERPRINT\tMETHOD\tSTATE\tCRASHES", lines)
		})
		return err
	}
	return cmd
}

func (c *client) lift() *cobra.Command {
	cmd := &cobra.Command{Use: "lift FINGERPRINT", Short: "Let a quarantined request run again", Args: cobra.ExactArgs(1)}
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		fp, err := strconv.ParseUint(args[0], 16, 64)
		if err != nil {
			return &exitError{code: exitUsage, message: fmt.Sprintf("%q is not a fingerprint; sycctl quarantine lists them", args[0])}
		}
		r, err := call(c, func(o sycapb.OperatorClient) func(context.Context, *connect.Request[sycapb.LiftRequest]) (*connect.Response[sycapb.LiftReply], error) {
			return o.Lift
		}, &sycapb.LiftRequest{Fingerprint: fp}, func(r *sycapb.LiftReply) {
			fmt.Printf("found=%t\n", r.Found)
		})
		if err == nil && !r.Found {
			return &exitError{code: exitRefused, message: "no such fingerprint is quarantined at the daemon"}
		}
		return err
	}
	return cmd
}

func (c *client) drain() *cobra.Command {
	cmd := &cobra.Command{Use: "drain", Short: "Take the backend server of the daemon out of service", Args: cobra.NoArgs}
	cmd.RunE = func(*cobra.Command, []string) error {
		_, err := call(c, func(o sycapb.OperatorClient) func(context.Context, *connect.Request[sycapb.LeaveRequest]) (*connect.Response[sycapb.LeaveReply], error) {
			return o.Leave
		}, &sycapb.LeaveRequest{}, func(r *sycapb.LeaveReply) {
			fmt.Printf("leaving inflight=%d\n", r.Inflight)
		})
		return err
	}
	return cmd
}

func (c *client) levels() *cobra.Command {
	cmd := &cobra.Command{Use: "levels", Short: "List what the daemon knows of the instances it calls", Args: cobra.NoArgs}
	cmd.RunE = func(*cobra.Command, []string) error {
		_, err := call(c, func(o sycapb.OperatorClient) func(context.Context, *connect.Request[sycapb.LevelsRequest]) (*connect.Response[sycapb.LevelsReply], error) {
			return o.Levels
		}, &sycapb.LevelsRequest{}, func(r *sycapb.LevelsReply) {
			var lines []string
			for _, l := range r.Rows {
				lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%s\t%.2f\t%dms\t%.2f\t%.0f\t%.2f\t%t\t%t",
					l.Service, l.Id, l.Zone, l.Method, float64(l.Level)/keysPerRank, l.AgeMs, l.Fill, l.TookMs, l.Failed, l.Silent, l.Avoided))
			}
			printTable("SERVICE\tID\tZONE\tMETHOD\tLEVEL\tAGE\tFILL\tTOOK MS\tFAILED\tSILENT\tAVOIDED", lines)
		})
		return err
	}
	return cmd
}

// keysPerRank is the number of admission keys per rank. It converts a level to ranks for
// display.
const keysPerRank = 65536

func (c *client) metrics() *cobra.Command {
	cmd := &cobra.Command{Use: "metrics", Short: "Print the metrics of the daemon", Args: cobra.NoArgs}
	cmd.RunE = func(*cobra.Command, []string) error {
		_, err := call(c, func(o sycapb.OperatorClient) func(context.Context, *connect.Request[sycapb.MetricsRequest]) (*connect.Response[sycapb.MetricsReply], error) {
			return o.Metrics
		}, &sycapb.MetricsRequest{}, func(r *sycapb.MetricsReply) {
			for _, m := range r.Metrics {
				fmt.Printf("%s=%g\n", m.Name, m.Value)
			}
		})
		return err
	}
	return cmd
}
