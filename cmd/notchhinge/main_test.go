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

// TestMain runs the program instead of the tests in processes that the function command starts.
func TestMain(m *testing.M) {
	if os.Getenv("NOTCHHINGE_TEST_COMMAND") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const validConfig = "../../internal/config/platformconfig/testdata/config.json"

// command returns a command that runs the program with a router configuration.
func command(config string, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(context.Background(), os.Args[0], args...)
	cmd.Env = append(os.Environ(), "NOTCHHINGE_TEST_COMMAND=1", "BALANCER_CONFIG="+config, "BALANCER_LISTEN=127.0.0.1:0")
	return cmd
}

func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		config string
		args   []string
		code   int
		output string
	}{
		{validConfig, []string{"check-config"}, 0, "router n1"},
		{"none.json", []string{"check-config"}, 2, "none.json"},
		{"none.json", []string{"serve"}, 2, "none.json"},
		{"main.go", []string{"serve"}, 2, "main.go"},
		{validConfig, []string{"serve", "--batch", "../../deploy/batch.toml"}, 2, "holds no key"}, // the key is in no file, and the variable is not set
		{validConfig, []string{"version"}, 0, "notchhinge"},
	} {
		out, err := command(c.config, c.args...).CombinedOutput()
		code := 0
		if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
			code = exit.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		if code != c.code || !strings.Contains(string(out), c.output) {
			t.Errorf("%s with %s: unexpected exit code %d or output\n%s", c.args, c.config, code, out)
		}
	}
}

// TestSignals checks that SIGUSR1 logs the counters, that SIGHUP reloads a valid configuration and keeps the old one if the new one
// is invalid, and that SIGTERM drains, logs the counters and exits with code 0.
func TestSignals(t *testing.T) {
	text, err := os.ReadFile(validConfig)
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
	defer func() { _ = c.Process.Kill() }() // fails if it has exited
	lines := bufio.NewScanner(logs)
	waitForLog := func(want string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), want) {
				return
			}
		}
		t.Fatalf("the log ends without %q: %v", want, lines.Err())
	}
	signal := func(s os.Signal) {
		t.Helper()
		if err := c.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	waitForLog("msg=serving")
	signal(syscall.SIGUSR1)
	waitForLog("msg=counters")
	write("{")
	signal(syscall.SIGHUP)
	waitForLog("configuration not applied")
	write(strings.Replace(string(text), `"discovery": "127.0.0.1:8500"`, `"discovery": "127.0.0.1:8501"`, 1))
	signal(syscall.SIGHUP)
	waitForLog("discovery=127.0.0.1:8501 moved=true")
	signal(syscall.SIGTERM)
	waitForLog("msg=draining")
	waitForLog("msg=counters")
	for lines.Scan() {
	}
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
}
