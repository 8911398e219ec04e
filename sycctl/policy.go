package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"sycamorespread.dev/sycapb"
)

const (
	exitConflict       = 3
	exitUnknownOutcome = 4
	exitRefused        = 5
)

func (c *client) policyCommands() []*cobra.Command {
	return []*cobra.Command{c.propose(), c.review(), c.accept(), c.history(), c.policy()}
}

func (c *client) propose() *cobra.Command {
	req := &sycapb.ProposeRequest{}
	cmd := &cobra.Command{Use: "propose FILE", Short: "Propose the policy in FILE", Args: cobra.ExactArgs(1)}
	cmd.Flags().StringVar(&req.Author, "author", "", "who proposes")
	cmd.Flags().StringVar(&req.Summary, "summary", "", "what changes and why")
	_ = cmd.MarkFlagRequired("author")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		req.Text = string(text)
		_, err = call(c, func(o sycapb.OperatorClient) func(context.Context, *connect.Request[sycapb.ProposeRequest]) (*connect.Response[sycapb.ProposeReply], error) {
			return o.Propose
		}, req, func(r *sycapb.ProposeReply) {
			fmt.Printf("change=%s base=%d author=%s\n", r.Change.Id, r.Change.BaseRevision, r.Change.Author)
		})
		return err
	}
	return cmd
}

func (c *client) review() *cobra.Command {
	r := &sycapb.Review{}
	var reject bool
	cmd := &cobra.Command{Use: "review CHANGE", Short: "Review a proposed change in writing", Args: cobra.ExactArgs(1)}
	cmd.Flags().StringVar(&r.Author, "author", "", "who reviews; not the proposer")
	cmd.Flags().StringVar(&r.Text, "text", "", "the review")
	cmd.Flags().BoolVar(&reject, "reject", false, "do not approve")
	_ = cmd.MarkFlagRequired("author")
	_ = cmd.MarkFlagRequired("text")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		r.Approve = !reject
		req := &sycapb.ReviewRequest{ChangeId: args[0], Review: r}
		_, err := call(c, func(o sycapb.OperatorClient) func(context.Context, *connect.Request[sycapb.ReviewRequest]) (*connect.Response[sycapb.ReviewReply], error) {
			return o.Review
		}, req, func(r *sycapb.ReviewReply) {
			fmt.Printf("change=%s reviews=%d\n", r.Change.Id, len(r.Change.Reviews))
		})
		return err
	}
	return cmd
}

func (c *client) accept() *cobra.Command {
	req := &sycapb.AcceptRequest{}
	var wait time.Duration
	cmd := &cobra.Command{Use: "accept CHANGE", Short: "Put a reviewed change in force", Args: cobra.ExactArgs(1)}
	cmd.Flags().StringVar(&req.Author, "author", "", "who accepts")
	cmd.Flags().DurationVar(&wait, "wait", 3*time.Second, "how long to wait until it is in force everywhere")
	_ = cmd.MarkFlagRequired("author")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		req.ChangeId = args[0]
		req.WaitMs = wait.Milliseconds()
		r, err := call(c, func(o sycapb.OperatorClient) func(context.Context, *connect.Request[sycapb.AcceptRequest]) (*connect.Response[sycapb.AcceptReply], error) {
			return o.Accept
		}, req, printAccept)
		if err != nil {
			return err
		}
		return acceptExit(r)
	}
	return cmd
}

func printAccept(r *sycapb.AcceptReply) {
	if r.Result != sycapb.AcceptResult_ACCEPT_RESULT_ACCEPTED {
		return
	}
	fmt.Printf("accepted revision=%d force_ms=%d\n", r.Revision, r.ForceMs)
	var lines []string
	for _, z := range r.Zones {
		lines = append(lines, fmt.Sprintf("%s\t%d\t%d", z.Zone, z.InForce, z.Members))
	}
	printTable("ZONE\tIN FORCE\tMEMBERS", lines)
}

// acceptExit returns an error with the exit code of the result, nil if the change was
// accepted.
func acceptExit(r *sycapb.AcceptReply) error {
	switch r.Result {
	case sycapb.AcceptResult_ACCEPT_RESULT_CONFLICT:
		return &exitError{code: exitConflict, message: "conflict: " + r.Detail}
	case sycapb.AcceptResult_ACCEPT_RESULT_UNKNOWN:
		return &exitError{code: exitUnknownOutcome, message: "unknown: " + r.Detail}
	case sycapb.AcceptResult_ACCEPT_RESULT_REFUSED:
		return &exitError{code: exitRefused, message: "refused: " + r.Detail}
	}
	return nil
}

func (c *client) history() *cobra.Command {
	req := &sycapb.HistoryRequest{}
	cmd := &cobra.Command{Use: "history", Short: "List the accepted changes, the newest first", Args: cobra.NoArgs}
	cmd.Flags().Uint32Var(&req.Limit, "limit", 20, "how many")
	cmd.RunE = func(*cobra.Command, []string) error {
		_, err := call(c, func(o sycapb.OperatorClient) func(context.Context, *connect.Request[sycapb.HistoryRequest]) (*connect.Response[sycapb.HistoryReply], error) {
			return o.History
		}, req, func(r *sycapb.HistoryReply) {
			var lines []string
			for _, ch := range r.Changes {
				date := time.UnixMilli(ch.CreatedUnixMs).UTC().Format(time.RFC3339)
				lines = append(lines, fmt.Sprintf("%d\t%s\t%s\t%s\t%s", ch.BaseRevision+1, ch.Id, ch.Author, date, ch.Summary))
			}
			printTable("REVISION\tCHANGE\tAUTHOR\tPROPOSED\tSUMMARY", lines)
		})
		return err
	}
	return cmd
}

func (c *client) policy() *cobra.Command {
	cmd := &cobra.Command{Use: "policy", Short: "Print the policy in force at the daemon", Args: cobra.NoArgs}
	cmd.RunE = func(*cobra.Command, []string) error {
		_, err := call(c, func(o sycapb.OperatorClient) func(context.Context, *connect.Request[sycapb.PolicyRequest]) (*connect.Response[sycapb.PolicyReply], error) {
			return o.Policy
		}, &sycapb.PolicyRequest{}, func(r *sycapb.PolicyReply) {
			fmt.Printf("; revision=%d change=%s\n%s", r.Revision, r.ChangeId, r.Text)
		})
		return err
	}
	return cmd
}
