package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/rpc"
)

// The exit codes of lfctl.
const (
	exitPolicy   = 1
	exitConflict = 3
	exitNoQuorum = 4
)

const (
	ctlTimeout     = 10 * time.Second
	ctlWaitTimeout = 30 * time.Second
	ctlPause       = 100 * time.Millisecond
)

// ctl is what every command of lfctl shares.
type ctl struct {
	Keepers string `long:"keepers" value-name:"HOST:PORT,…" description:"addresses of the keepers" env:"LF_KEEPERS"`
	Secret  string `long:"secret" value-name:"FILE" description:"the fleet's secret" env:"LF_SECRET"`
	JSON    bool   `long:"json" description:"print JSON"`
	Version bool   `long:"version" description:"print the version and exit"`

	stdout, stderr io.Writer
	code           int
}

// Ctl runs lfctl and returns its exit code.
func Ctl(args []string, stdout, stderr io.Writer) int {
	c := &ctl{stdout: stdout, stderr: stderr}
	p := flags.NewNamedParser("lfctl", flags.HelpFlag|flags.PassDoubleDash)
	p.SubcommandsOptional = true
	_, err := p.AddGroup("Options", "", c)
	for _, add := range []func(*flags.Parser) error{c.addApply, c.addShow, c.addCheck, c.addStatus, c.addDiff, c.addHistory, c.addDigest, c.addExplain, c.addSizes, c.addLosses, c.addHeld, c.addLift, c.addEvacuate} {
		if err == nil {
			err = add(p)
		}
	}
	if err != nil {
		return fail(stderr, exitPolicy, err)
	}
	_, err = p.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		say(stdout, "%s", flagErr.Message)
		return exitDone
	case errors.As(err, &flagErr):
		return fail(stderr, exitUsage, fmt.Errorf("%w (see lfctl --help)", err))
	case err != nil:
		return fail(stderr, codeOf(err), err)
	case c.Version:
		return printVersion("lfctl", stdout)
	case p.Active == nil:
		return fail(stderr, exitUsage, errors.New("no command (see lfctl --help)"))
	}
	return c.code
}

// codeOf maps an error to the exit code of the outside interface.
func codeOf(err error) int {
	var kind *fleet.Error
	if !errors.As(err, &kind) {
		return exitUsage
	}
	switch kind.Kind {
	case fleet.KindNoQuorum, fleet.KindNotLeader:
		return exitNoQuorum
	case fleet.KindConflict:
		return exitConflict
	case fleet.KindInvalidConfig, fleet.KindMalformed:
		return exitUsage
	default:
		return exitPolicy
	}
}

// noPeer answers what a keeper would call of lfctl: nothing.
type noPeer struct{}

// Call implements rpc.Handler.
func (noPeer) Call(context.Context, *rpc.Conn, string, json.RawMessage) (any, error) {
	return nil, fleet.NewError(fleet.KindMalformed, "call a keeper", "lfctl serves no calls")
}

// Notify implements rpc.Handler.
func (noPeer) Notify(*rpc.Conn, string, json.RawMessage) {}

// call asks the leading keeper, whichever it is, until timeout. Every call of
// lfctl may be sent again: the same request is carried out once.
func (c *ctl) call(timeout time.Duration, method string, params, result any) error {
	secret, addresses, err := c.target()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var last error
	for ctx.Err() == nil {
		for _, address := range addresses {
			last = callOne(ctx, address, secret, method, params, result)
			if last == nil || final(last) {
				return last
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(ctlPause):
		}
	}
	return fleet.NewError(fleet.KindNoQuorum, "look at the keepers, then send it again: that is safe", "no keeper answered as leader: %v", last)
}

func (c *ctl) target() (rpc.Secret, []string, error) {
	if c.Keepers == "" || c.Secret == "" {
		return nil, nil, errors.New("name the keepers with --keepers and the fleet's secret with --secret")
	}
	secret, err := os.ReadFile(c.Secret)
	if err != nil {
		return nil, nil, fmt.Errorf("read the secret (name a readable file with --secret): %w", err)
	}
	return secret, strings.Split(c.Keepers, ","), nil
}

func callOne(ctx context.Context, address string, secret rpc.Secret, method string, params, result any) error {
	var count rpc.Counter
	conn, err := rpc.Dial(ctx, address, "lfctl", secret, noPeer{}, &count)
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.Call(ctx, method, params, result)
}

// final reports whether asking another keeper can not help.
func final(err error) bool {
	var kind *fleet.Error
	if !errors.As(err, &kind) {
		return false
	}
	return kind.Kind != fleet.KindNotLeader && kind.Kind != fleet.KindNoQuorum
}

func (c *ctl) printJSON(v any) error {
	enc := json.NewEncoder(c.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func readConfig(file string) (fleet.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return fleet.Config{}, fmt.Errorf("read the configuration: %w", err)
	}
	return fleet.ParseConfig(file, data)
}

func operator() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// inForce returns the configuration in force and the history.
func (c *ctl) inForce() (fleet.Config, message.ShowResult, error) {
	var s message.ShowResult
	if err := c.call(ctlTimeout, message.MethodShow, struct{}{}, &s); err != nil {
		return fleet.Config{}, s, err
	}
	var config fleet.Config
	if len(s.Config) == 0 {
		return config, s, nil
	}
	if err := json.Unmarshal(s.Config, &config); err != nil {
		return config, s, fmt.Errorf("read the keeper's answer: %w", err)
	}
	return config, s, nil
}
