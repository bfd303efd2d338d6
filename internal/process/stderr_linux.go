package process

import (
	"fmt"
	"os"
	"syscall"
)

// unblockStandardError makes writes to standard error fail instead of wait if it is a pipe that is
// full: the runtime writes the trace of a panic while all goroutines stand still. Other processes and
// standard output may share the pipe, and are not affected.
func unblockStandardError() error {
	info, err := os.Stderr.Stat()
	if err != nil {
		return fmt.Errorf("standard error: %w", err)
	}
	if info.Mode()&os.ModeNamedPipe == 0 {
		return nil
	}
	// Opening the pipe again gives this process flags of its own.
	fd, err := syscall.Open("/proc/self/fd/2", syscall.O_WRONLY|syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("open standard error again: %w", err)
	}
	defer syscall.Close(fd)
	if err := syscall.Dup3(fd, syscall.Stderr, 0); err != nil {
		return fmt.Errorf("replace standard error: %w", err)
	}
	return nil
}
