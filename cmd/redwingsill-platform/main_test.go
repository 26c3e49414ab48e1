package main_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

func TestReloadDuringTheStartDoesNotEndTheProgram(t *testing.T) {
	program := filepath.Join(t.TempDir(), "redwingsill-platform")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	settings := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(program, "--settings", settings)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	killed := time.AfterFunc(20*time.Second, func() { _ = command.Process.Kill() })
	defer killed.Stop()
	file, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns once the program reads its settings
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	_, _ = file.WriteString("no settings")
	_ = file.Close()
	var failed *exec.ExitError
	if err := command.Wait(); !errors.As(err, &failed) || failed.ExitCode() != 1 {
		t.Errorf("the program ended with %v, want exit status 1 for settings that can't be read", err)
	}
}
