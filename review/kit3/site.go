//go:build review

// Package kit3 holds what the cases of the third review share: small stand-ins of the platform, and the system's own
// processes on loopback addresses.
package kit3

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	NotRun   = 2
	hostBase = 10
)

// Site is a small deployment on loopback addresses.
type Site struct {
	Dir    string
	Prefix string
	Store  *Store
	Cloud  *Cloud
	Nodes  []*Node
	Record *Record
	// ReceiveBuffer is the receive buffer of the replicas' connections in bytes; 0 for the default.
	ReceiveBuffer int
	// Backlog is the length of the replicas' queue of new connections; 0 for the default.
	Backlog int
	claim   net.Listener
}

// NewSite starts the platform's stand-ins and prepares n machines, in three zones. The store's first era is era.
func NewSite(record *Record, n int, era uint64) (*Site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &Site{Dir: dir, Record: record}
	for range 1000 {
		s.Prefix = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		if s.claim, err = net.Listen("tcp4", s.Prefix+".250:17600"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if s.Store, err = NewStore(s.Prefix+".200:0", era); err != nil {
		return nil, err
	}
	if s.Cloud, err = NewCloud(s.Prefix + ".201:0"); err != nil {
		return nil, err
	}
	for i := range n {
		name := fmt.Sprintf("edge-pnw-%c-%d", 'a'+i%3, 1+i/3)
		s.Nodes = append(s.Nodes, &Node{
			Name: name, Zone: fmt.Sprintf("pnw-%c", 'a'+i%3), IP: fmt.Sprintf("%s.%d", s.Prefix, hostBase+i),
			site: s, settings: filepath.Join(dir, name+".toml"),
		})
	}
	return s, nil
}

func (s *Site) seeds() string {
	var out []string
	for _, n := range s.Nodes[:min(3, len(s.Nodes))] {
		out = append(out, strconv.Quote(fmt.Sprintf("%s:%d", n.IP, ControlPort)))
	}
	return strings.Join(out, ",")
}

// Start starts all processes.
func (s *Site) Start() error {
	for _, n := range s.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes and stand-ins. The logs are kept if REVIEW_KEEP is set.
func (s *Site) Close() {
	for _, n := range s.Nodes {
		if n.command != nil && !n.Exited() {
			n.Kill()
		}
	}
	s.Store.Close()
	s.Cloud.Close()
	_ = s.claim.Close()
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(s.Dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", s.Dir)
	}
}

// Ready reports whether a node says that it is ready.
func (n *Node) Ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/api/readyz", n.IP, ReadyPort))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// WaitReady waits until all nodes are ready.
func (s *Site) WaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range s.Nodes {
			if n.Ready() {
				ready++
			}
		}
		if ready == len(s.Nodes) {
			return true
		}
	}
	return false
}

// Record writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the record of a case in its folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: f, began: time.Now()}, err
}

// Add adds a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends the record.
func (r *Record) Close() { _ = r.file.Close() }

// Trouble reports whether the case is to be played with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Run runs a case and ends the process with its result.
func Run(folder string, play func(*Record) (int, error)) {
	record, err := NewRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	code, err := play(record)
	if err != nil {
		code = NotRun
		record.Add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	record.Add("result %d (0 held, 1 broken, 2 not run)", code)
	record.Close()
	fmt.Println("result", code)
	os.Exit(code)
}
