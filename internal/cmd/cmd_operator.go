package cmd

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"maps"
	"slices"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"rosereach/core/change"
	"rosereach/core/key"
	"rosereach/core/operator"
)

// cmdOperator returns the command that manages operators and their keys.
func cmdOperator() *command {
	role := flag("role", "", "reader, monitor or operator")
	newKey := flag("new-key", "", "key to store (a new random key when empty)")
	revoke := flag("revoke", "", "hash of the key to revoke, as listed by operator list")
	return &command{
		name: "operator", short: "create and close operators, create and revoke their keys",
		subs: []*command{
			{name: "set", short: "create an operator or change its role", args: "NAME", flags: changeFlags(role), action: setOperator},
			{name: "close", short: "revoke all permissions of an operator", args: "NAME", flags: changeFlags(), action: closeOperator},
			{name: "key", short: "create or revoke a key of an operator", args: "NAME", flags: changeFlags(newKey, revoke), action: manageOperatorKey},
			{name: "list", short: "list operators", flags: operatorFlags(), action: listOperators},
		},
	}
}

func setOperator(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	o := operator.Operator{Name: s.argument(0, "NAME"), Role: operator.Role(s.required("role")), KeyHashes: []string{}}
	return s.change(ctx, change.PutOperator, o.Name, o)
}

func closeOperator(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	name := s.argument(0, "NAME")
	docs, err := s.documents(ctx)
	if err != nil {
		return err
	}
	o := operator.Operator{Name: name, Role: docs.Operators[name].Role, KeyHashes: []string{}, Closed: true}
	return s.change(ctx, change.PutOperator, name, o)
}

func manageOperatorKey(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	name := s.argument(0, "NAME")
	if hash := s.optional("revoke"); hash != "" {
		return s.change(ctx, change.RemoveOperatorKey, name, change.Key{Hash: hash})
	}
	return s.makeKey("new-key", func(text string) error {
		return s.change(ctx, change.AddOperatorKey, name, change.Key{Hash: key.Hash(text)})
	})
}

// makeKey stores the key given by the flag, or a new random one. It prints a new
// key unless the change was refused. A key whose outcome is unknown is printed
// too, so that the same key can be sent again.
func (s *settings) makeKey(flagName string, store func(text string) error) error {
	given := s.optional(flagName)
	text := cmp.Or(given, rand.Text())
	err := store(text)
	stored := err == nil || exitCodeOf(err) == exitUnknown || exitCodeOf(err) == exitNotInForce
	if given != "" || !stored || s.cmd.Bool("dry-run") {
		return err
	}
	fmt.Println(text)
	if err != nil && exitCodeOf(err) == exitUnknown {
		return withExitCode(exitUnknown, errors.Annotatef(err, "retry with the printed key in --%s", flagName))
	}
	return err
}

func listOperators(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	docs, err := s.documents(ctx)
	if err != nil {
		return err
	}
	out := newTable("OPERATOR", "ROLE", "CLOSED", "REVISION", "KEY HASHES")
	for _, name := range slices.Sorted(maps.Keys(docs.Operators)) {
		o := docs.Operators[name]
		out.addRow(name, o.Role, o.Closed, o.Revision, o.KeyHashes)
	}
	return s.show(docs.Operators, out)
}
