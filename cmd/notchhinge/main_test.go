package main

import (
	"bufio"
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestMain lets the test's own program stand for the command.
func TestMain(m *testing.M) {
	if os.Getenv("NOTCHHINGE_TEST_COMMAND") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const goodConfig = "../../internal/config/platformconfig/testdata/config.json"

func command(config string, args ...string) *exec.Cmd {
	c := exec.CommandContext(context.Background(), os.Args[0], args...)
	c.Env = append(os.Environ(), "NOTCHHINGE_TEST_COMMAND=1", "BALANCER_CONFIG="+config, "BALANCER_LISTEN=127.0.0.1:0")
	return c
}

func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		config string
		args   []string
		code   int
		says   string
	}{
		{goodConfig, []string{"check-config"}, 0, "router n1"},
		{"none.json", []string{"check-config"}, 2, "none.json"},
		{"none.json", []string{"serve"}, 2, "none.json"},
		{"main.go", []string{"serve"}, 2, "main.go"},
		{goodConfig, []string{"serve", "--batch", "../../deploy/batch.toml"}, 2, "holds no key"}, // keys are in no file
		{goodConfig, []string{"version"}, 0, "notchhinge"},
	} {
		out, err := command(c.config, c.args...).CombinedOutput()
		code := 0
		if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
			code = exit.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		if code != c.code || !strings.Contains(string(out), c.says) {
			t.Errorf("%s with %s: exit code %d\n%s", c.args, c.config, code, out)
		}
	}
}

func TestSignals(t *testing.T) {
	// SIGUSR1 prints the counters and the program goes on, as it does on SIGHUP, whether the configuration has
	// become another or a bad one; SIGTERM drains, prints them and ends with 0.
	text, err := os.ReadFile(goodConfig)
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(string(text))
	c := command(config, "serve")
	logs, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Process.Kill() }() // it may have ended
	lines := bufio.NewScanner(logs)
	await := func(word string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), word) {
				return
			}
		}
		t.Fatalf("the log ends without %q: %v", word, lines.Err())
	}
	signal := func(s os.Signal) {
		t.Helper()
		if err := c.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	await("msg=serving")
	signal(syscall.SIGUSR1)
	await("msg=counters")
	write("{")
	signal(syscall.SIGHUP)
	await("configuration not applied")
	write(strings.Replace(string(text), `"discovery": "127.0.0.1:8500"`, `"discovery": "127.0.0.1:8501"`, 1))
	signal(syscall.SIGHUP)
	await("discovery=127.0.0.1:8501 moved=true")
	signal(syscall.SIGTERM)
	await("msg=draining")
	await("msg=counters")
	for lines.Scan() {
	}
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
}
