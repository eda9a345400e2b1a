// Command gypsumquayctl is the command-line client for operators.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alexflint/go-arg"

	"github.com/gypsumquay/gypsumquay/internal/client/command"
)

func main() {
	var a command.Arguments
	arg.MustParse(&a)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	code := command.Run(ctx, a, os.Stdout, os.Stderr)
	cancel()
	os.Exit(code)
}
