package soak

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// addressHolders describes the sockets that are bound to a TCP address, with the
// processes that hold them as far as this one may see.
func addressHolders(addr string) string {
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return err.Error()
	}
	var list []string
	for _, s := range boundSockets(a) {
		list = append(list, fmt.Sprintf("%s held by %s", s.text, strings.Join(socketOwners(s.inode), ", ")))
	}
	if len(list) == 0 {
		return "no socket is bound to it any more"
	}
	return strings.Join(list, "; ")
}

type boundSocket struct{ text, inode string }

// boundSockets returns the IPv4 sockets at an address, and those at its port on all
// addresses.
func boundSockets(a *net.TCPAddr) (list []boundSocket) {
	ip := a.IP.To4()
	own := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	every := fmt.Sprintf("%08X:%04X", 0, a.Port)
	every6 := fmt.Sprintf("%032X:%04X", 0, a.Port)
	for _, name := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		file, err := os.Open(name)
		if err != nil {
			continue
		}
		defer file.Close()
		for lines := bufio.NewScanner(file); lines.Scan(); {
			f := strings.Fields(lines.Text())
			if len(f) < 10 || f[1] != own && f[1] != every && f[1] != every6 {
				continue
			}
			list = append(list, boundSocket{fmt.Sprintf("local %s remote %s state %s uid %s inode %s", f[1], f[2], f[3], f[7], f[9]), f[9]})
		}
	}
	return list
}

// socketOwners returns the processes that have a socket open.
func socketOwners(inode string) (list []string) {
	links, _ := filepath.Glob("/proc/[0-9]*/fd/*") // the pattern is well formed
	for _, link := range links {
		if to, err := os.Readlink(link); err != nil || to != "socket:["+inode+"]" {
			continue
		}
		dir := filepath.Dir(filepath.Dir(link))
		cmd, err := os.ReadFile(filepath.Join(dir, "cmdline"))
		if err != nil {
			continue
		}
		status, _ := os.ReadFile(filepath.Join(dir, "status"))
		_, parent, _ := strings.Cut(string(status), "PPid:")
		parent, _, _ = strings.Cut(parent, "\n")
		list = append(list, fmt.Sprintf("process %s of %s: %s", filepath.Base(dir), strings.TrimSpace(parent), strings.TrimSpace(strings.ReplaceAll(string(cmd), "\x00", " "))))
	}
	if len(list) == 0 {
		return []string{"no visible process"}
	}
	return list
}
