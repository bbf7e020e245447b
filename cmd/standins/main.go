package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/pollencourse/pollencourse/internal/standin/world"
)

func main() {
	if err := serve(); err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		os.Exit(1)
	}
}

func serve() error {
	dec := json.NewDecoder(os.Stdin)
	var layout world.Layout
	if err := dec.Decode(&layout); err != nil {
		return err
	}
	w, err := world.Start(layout)
	if err != nil {
		return err
	}
	defer w.Close()
	if err := json.NewEncoder(os.Stdout).Encode(w); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}
