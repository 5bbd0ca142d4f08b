//go:build !linux

package soak

// addressHolders describes who holds a TCP address; only Linux tells.
func addressHolders(string) string { return "unknown holder" }
