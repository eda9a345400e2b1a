package command

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	version     = "0.1.0"
	keyFileMode = 0o600
)

type (
	// KeysArguments holds the subcommands for keys.
	KeysArguments struct {
		New  *KeysNewArguments  `arg:"subcommand:new" help:"create a key file for an operator"`
		List *KeysListArguments `arg:"subcommand:list" help:"print the public keys of key files in the format of the settings"`
	}

	// KeysNewArguments describes a new key.
	KeysNewArguments struct {
		Operator string `arg:"positional,required" help:"the operator's name"`
		Out      string `arg:"--out,required" help:"file to write; it must not exist"`
	}

	// KeysListArguments selects key files.
	KeysListArguments struct {
		Files []string `arg:"positional,required"`
	}
)

func (a *KeysArguments) run() (Result, error) {
	switch {
	case a.New != nil:
		return a.New.run()
	case a.List != nil:
		return a.List.run()
	}
	return Result{}, usageError("keys: a subcommand is required: new or list")
}

func (a *KeysNewArguments) run() (Result, error) {
	pair, err := operator.NewKeyPair(a.Operator)
	if err != nil {
		return Result{}, usageError(err.Error())
	}
	data, err := json.MarshalIndent(pair, "", "  ")
	if err != nil {
		return Result{}, errors.Wrap(err, "encode key")
	}
	file, err := os.OpenFile(a.Out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return Result{}, errors.Wrap(err, "write key file")
	}
	if _, err := file.Write(append(data, '\n')); err != nil {
		return Result{}, errors.Wrap(err, "write key file")
	}
	if err := file.Close(); err != nil {
		return Result{}, errors.Wrap(err, "write key file")
	}
	return Result{
		Text: fmt.Sprintf("key of %s written to %s; public key %s", a.Operator, a.Out, pair.PublicKey),
		Data: pair.TrustedKey(),
	}, nil
}

func (a *KeysListArguments) run() (Result, error) {
	var keys []operator.TrustedKey
	var text strings.Builder
	for _, name := range a.Files {
		pair, err := readKey(name)
		if err != nil {
			return Result{}, err
		}
		keys = append(keys, pair.TrustedKey())
		fmt.Fprintf(&text, "%-20s %s\n", pair.Operator, pair.PublicKey)
	}
	return Result{Text: text.String(), Data: keys}, nil
}

func readKey(path string) (*operator.KeyPair, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError(err.Error())
	}
	var pair operator.KeyPair
	if err := operator.DecodeStrict(data, &pair); err != nil {
		return nil, usageError(path + ": " + err.Error())
	}
	return &pair, nil
}
