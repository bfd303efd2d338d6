//go:build !linux

package process

// unblockStandardError does nothing: only Linux can open a pipe again.
func unblockStandardError() error { return nil }
