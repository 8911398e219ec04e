package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/sycapb"
)

const defaultTimeout = 15 * time.Second

// client calls the Operator service of one daemon and prints the responses.
type client struct {
	addr    string
	json    bool
	timeout time.Duration
}

func (c *client) rpc() (sycapb.OperatorClient, error) {
	if _, err := netip.ParseAddrPort(c.addr); err != nil {
		return nil, &exitError{code: exitUsage, message: fmt.Sprintf("--addr %q is not IP:PORT", c.addr)}
	}
	return sycapb.NewOperatorClient(http.DefaultClient, "http://"+c.addr), nil
}

// call sends one request and prints the response, as JSON or with table.
func call[Q, R any, PR interface {
	*R
	proto.Message
}](c *client, method func(sycapb.OperatorClient) func(context.Context, *connect.Request[Q]) (*connect.Response[R], error), req *Q, table func(PR)) (PR, error) {
	rpc, err := c.rpc()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	resp, err := method(rpc)(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, c.explainError(err)
	}
	msg := PR(resp.Msg)
	if c.json {
		fmt.Println(protojson.MarshalOptions{EmitUnpopulated: true}.Format(msg))
		return msg, nil
	}
	table(msg)
	return msg, nil
}

// explainError converts an RPC error to one with an exit code and a hint for the
// operator.
func (c *client) explainError(err error) error {
	var rpc *connect.Error
	if !errors.As(err, &rpc) {
		return err
	}
	switch rpc.Code() {
	case connect.CodeUnavailable:
		return fmt.Errorf("%s (the daemon %s or the platform cannot be reached; try again or name another daemon with --addr)", rpc.Message(), c.addr)
	case connect.CodeInvalidArgument:
		return &exitError{code: exitRefused, message: rpc.Message() + " (correct the policy text and propose it again)"}
	case connect.CodeFailedPrecondition:
		return &exitError{code: exitRefused, message: rpc.Message()}
	case connect.CodeAborted:
		return &exitError{code: exitConflict, message: rpc.Message()}
	}
	return errors.New(rpc.Message())
}

// printTable prints lines of tab-separated cells as a table.
func printTable(header string, lines []string) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
	_ = w.Flush()
}
