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
	exitRejected = 1
	exitConflict = 3
	exitNoQuorum = 4
)

const (
	ctlTimeout          = 10 * time.Second
	ctlApplyWaitTimeout = 30 * time.Second
	ctlRetryInterval    = 100 * time.Millisecond
)

// ctl holds the options and state that all commands of lfctl share.
type ctl struct {
	Keepers string `long:"keepers" value-name:"HOST:PORT,…" description:"addresses of the keepers" env:"LF_KEEPERS"`
	Secret  string `long:"secret" value-name:"FILE" description:"the fleet's secret" env:"LF_SECRET"`
	JSON    bool   `long:"json" description:"print JSON"`
	Version bool   `long:"version" description:"print the version and exit"`

	stdout, stderr io.Writer
	exitCode       int
}

// Ctl runs lfctl and returns its exit code.
func Ctl(args []string, stdout, stderr io.Writer) int {
	shared := &ctl{stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("lfctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	_, err := parser.AddGroup("Options", "", shared)
	for _, addCommand := range []func(*flags.Parser) error{shared.addApply, shared.addShow, shared.addCheck, shared.addStatus, shared.addDiff, shared.addHistory, shared.addDigest, shared.addExplain, shared.addSizes, shared.addLosses, shared.addHeld, shared.addLift, shared.addEvacuate} {
		if err == nil {
			err = addCommand(parser)
		}
	}
	if err != nil {
		return fail(stderr, exitRejected, err)
	}
	_, err = parser.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		printf(stdout, "%s", flagErr.Message)
		return exitOK
	case errors.As(err, &flagErr):
		return fail(stderr, exitUsage, fmt.Errorf("%w (see lfctl --help)", err))
	case err != nil:
		return fail(stderr, exitCodeOf(err), err)
	case shared.Version:
		return printVersion("lfctl", stdout)
	case parser.Active == nil:
		return fail(stderr, exitUsage, errors.New("no command (see lfctl --help)"))
	}
	return shared.exitCode
}

// exitCodeOf maps an error to an exit code of lfctl.
func exitCodeOf(err error) int {
	var fleetErr *fleet.Error
	if !errors.As(err, &fleetErr) {
		return exitUsage
	}
	switch fleetErr.Kind {
	case fleet.KindNoQuorum, fleet.KindNotLeader:
		return exitNoQuorum
	case fleet.KindConflict:
		return exitConflict
	case fleet.KindInvalidConfig, fleet.KindMalformed:
		return exitUsage
	default:
		return exitRejected
	}
}

// clientHandler rejects all calls from keepers: lfctl only sends calls.
type clientHandler struct{}

// Call implements rpc.Handler.
func (clientHandler) Call(context.Context, *rpc.Conn, string, json.RawMessage) (any, error) {
	return nil, fleet.NewError(fleet.KindMalformed, "call a keeper", "lfctl serves no calls")
}

// Notice implements rpc.Handler.
func (clientHandler) Notice(*rpc.Conn, string, json.RawMessage) {}

// call sends a request to the leader and tries the keepers in turn until it is found or the
// timeout expires. All requests of lfctl are idempotent, so each may be sent again.
func (c *ctl) call(timeout time.Duration, method string, params, result any) error {
	secret, addresses, err := c.connectOptions()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var lastErr error
	for ctx.Err() == nil {
		for _, address := range addresses {
			lastErr = callKeeper(ctx, address, secret, method, params, result)
			if lastErr == nil || isFinal(lastErr) {
				return lastErr
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(ctlRetryInterval):
		}
	}
	return fleet.NewError(fleet.KindNoQuorum, "look at the keepers, then send it again: that is safe", "no keeper answered as leader: %v", lastErr)
}

// connectOptions returns the secret of the fleet and the addresses of the keepers.
func (c *ctl) connectOptions() (rpc.Secret, []string, error) {
	if c.Keepers == "" || c.Secret == "" {
		return nil, nil, errors.New("name the keepers with --keepers and the fleet's secret with --secret")
	}
	secret, err := os.ReadFile(c.Secret)
	if err != nil {
		return nil, nil, fmt.Errorf("read the secret (name a readable file with --secret): %w", err)
	}
	return secret, strings.Split(c.Keepers, ","), nil
}

// callKeeper sends one request to one keeper on a new connection.
func callKeeper(ctx context.Context, address string, secret rpc.Secret, method string, params, result any) error {
	var counter rpc.Counter
	conn, err := rpc.Dial(ctx, address, "lfctl", secret, clientHandler{}, &counter)
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.Call(ctx, method, params, result)
}

// isFinal reports whether another keeper would return the same error.
func isFinal(err error) bool {
	var fleetErr *fleet.Error
	if !errors.As(err, &fleetErr) {
		return false
	}
	return fleetErr.Kind != fleet.KindNotLeader && fleetErr.Kind != fleet.KindNoQuorum
}

func (c *ctl) printJSON(value any) error {
	encoder := json.NewEncoder(c.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func readConfig(file string) (fleet.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return fleet.Config{}, fmt.Errorf("read the configuration: %w", err)
	}
	return fleet.ParseConfig(file, data)
}

func operatorName() string {
	currentUser, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return currentUser.Username
}

// activeConfig returns the configuration in force and the reply that holds it, with the history
// of configurations.
func (c *ctl) activeConfig() (fleet.Config, message.ShowResult, error) {
	var result message.ShowResult
	if err := c.call(ctlTimeout, message.MethodShow, struct{}{}, &result); err != nil {
		return fleet.Config{}, result, err
	}
	var config fleet.Config
	if len(result.Config) == 0 {
		return config, result, nil
	}
	if err := json.Unmarshal(result.Config, &config); err != nil {
		return config, result, fmt.Errorf("read the keeper's answer: %w", err)
	}
	return config, result, nil
}
