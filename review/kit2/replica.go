//go:build review

package kit2

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ask is what a client asks of a stand-in replica, in the header X-Ask, which the system forwards like any
// other.
type Ask struct {
	// Events and GapMs describe a stream; Bytes and the time HoldMs before each half a plain answer.
	Events, GapMs int
	Bytes, HoldMs int
	// Framing is "length", "chunks" or "connection" (neither, the answer ends with the connection).
	Framing string
	// Raw, if set, is written in place of an answer, and the connection is then closed.
	Raw []byte `json:",omitempty"`
}

// Encode returns the value of the header.
func (a Ask) Encode() string {
	data, _ := json.Marshal(a)
	return string(data)
}

// ReplicaMain runs a replica until it is killed. Arguments: store, id, service, zone, slots.
// SIGUSR1 makes it leave as planned: it reports that it is draining, serves for two seconds more, finishes
// what it has, and exits. SIGUSR2 makes it leave without that report: it removes its entry, serves for
// lingerTime, and exits. In both cases all its answers say that it leaves.
func ReplicaMain(args []string) {
	r := &replica{store: args[0], id: args[1], service: args[2], zone: args[3], born: time.Now().UnixMilli()}
	r.slots, _ = strconv.Atoi(args[4])
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r.listener, r.state = l, "ready"
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1, syscall.SIGUSR2)
	go r.accept()
	r.report()
	r.say("listens", l.Addr().String())
	ticker := time.NewTicker(heartbeat)
	for {
		select {
		case <-ticker.C:
			r.report()
		case received := <-leave:
			r.setState("draining")
			if received == syscall.SIGUSR2 {
				ticker.Stop()
				r.say("removes", "its entry")
				r.removeEntry()
				go r.linger()
				continue
			}
			r.report()
			r.say("draining", "")
			go r.leave()
		}
	}
}

// lingerTime is how long a replica that left without a report serves: drain_ms and many seconds more.
const lingerTime = 14 * time.Second

func (r *replica) linger() {
	time.Sleep(lingerTime)
	r.say("exits", "")
	os.Exit(0)
}

// removeEntry removes the replica's entry from the store.
func (r *replica) removeEntry() { r.write(http.MethodDelete, "/"+r.id, nil) }

type replica struct {
	store, id, service, zone string
	slots                    int
	born                     int64
	listener                 net.Listener

	mu     sync.Mutex
	state  string
	seq    int
	active int
}

func (r *replica) setState(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
}

func (r *replica) leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == "draining"
}

// say writes one line for the record.
func (r *replica) say(what, rest string) {
	fmt.Printf("%d %s %s %s\n", time.Now().UnixMilli(), r.id, what, rest)
}

// report writes the replica's entry.
func (r *replica) report() {
	r.mu.Lock()
	r.seq++
	entry := map[string]any{
		"service": r.service, "addr": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": r.state, "cold_remaining_ms": 0, "seq": r.seq, "born": r.born,
	}
	create := r.seq == 1
	r.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"metadata": map[string]any{"name": r.id}, "spec": entry})
	if create || r.write(http.MethodPut, "/"+r.id, body) == http.StatusNotFound {
		r.write(http.MethodPost, "", body)
	}
}

// write writes the entry and returns the store's status, or 0 without an answer.
func (r *replica) write(method, path string, body []byte) int {
	req, _ := http.NewRequest(method, "http://"+r.store+"/api/objects/servers"+path, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// leave serves for drain_ms and finishes what it has, then exits.
func (r *replica) leave() {
	time.Sleep(2 * time.Second)
	for range 200 {
		r.mu.Lock()
		busy := r.active > 0
		r.mu.Unlock()
		if !busy {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	r.removeEntry()
	r.say("exits", "")
	os.Exit(0)
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *replica) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r.mu.Lock()
		full := r.active >= r.slots
		if !full {
			r.active++
		}
		r.mu.Unlock()
		keep := r.answer(c, req, body, full)
		if !full {
			r.mu.Lock()
			r.active--
			r.mu.Unlock()
		}
		if !keep {
			return
		}
	}
}

// answer answers one request and reports whether the connection is kept.
func (r *replica) answer(c net.Conn, req *http.Request, body []byte, full bool) bool {
	id := req.Header.Get("X-Mangoledge-Attempt-Id")
	head := "X-Mangoledge-Attempt-Id: " + id + "\r\nX-Mangoledge-Replica-Id: " + r.id + "\r\n"
	// A replica that leaves says so in each answer whose head it writes from then on.
	leaving := func() string {
		if r.leaving() {
			return "Server-Leaving: 1\r\n"
		}
		return ""
	}
	if expected := req.Header.Get("X-Mangoledge-Expect-Replica"); expected != "" && expected != r.id {
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+leaving()+"Content-Length: 0\r\n\r\n")
		return err == nil
	}
	if full {
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Mangoledge-Not-Executed: 1\r\n"+head+leaving()+"Content-Length: 0\r\n\r\n")
		return err == nil
	}
	var ask Ask
	_ = json.Unmarshal([]byte(req.Header.Get("X-Ask")), &ask)
	r.say("runs", fmt.Sprintf("%s %s %s tenant=%q body=%d framing=%s", id, req.Method, req.RequestURI, req.Header.Get("X-Mangoledge-Tenant"), len(body), ask.Framing))
	start := func() string {
		return "HTTP/1.1 200 OK\r\n" + head + leaving() + "X-Mangoledge-Server-Signature: " + r.id + "." + id + "\r\n"
	}
	if len(ask.Raw) > 0 {
		_, _ = c.Write(bytes.ReplaceAll(ask.Raw, []byte("@ID"), []byte(id)))
		time.Sleep(time.Duration(ask.HoldMs) * time.Millisecond)
		return ask.Framing == "keep"
	}
	var err error
	if ask.Events > 0 {
		after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		err = stream(c, start, id, after, &ask)
	} else {
		err = plain(c, start, id, &ask)
	}
	if err != nil {
		r.say("cut", id+" "+err.Error())
		return false
	}
	r.say("done", id)
	return ask.Framing != "connection"
}

// EventOf returns event i of n of a stream.
func EventOf(id string, i, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d of %d\n\n", i, id, i, n)
}

// BodyOf returns the body of a plain answer.
func BodyOf(id string, bytes int) string {
	return strings.Repeat(id+".", bytes/(len(id)+1)+1)[:bytes]
}

// stream writes the events of a stream after the one with the given number.
func stream(c net.Conn, start func() string, id string, after int, ask *Ask) error {
	chunked := ask.Framing != "connection"
	head := start() + "Content-Type: text/event-stream\r\n"
	if chunked {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return err
	}
	for i := after + 1; i <= ask.Events; i++ {
		time.Sleep(time.Duration(ask.GapMs) * time.Millisecond)
		if err := writePiece(c, EventOf(id, i, ask.Events), chunked); err != nil {
			return err
		}
	}
	if chunked {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err
	}
	return nil
}

func plain(c net.Conn, start func() string, id string, ask *Ask) error {
	body := BodyOf(id, ask.Bytes)
	hold := time.Duration(ask.HoldMs) * time.Millisecond
	time.Sleep(hold)
	head := start() + "Content-Type: application/octet-stream\r\n"
	chunked := ask.Framing == "chunks"
	switch {
	case chunked:
		head += "Transfer-Encoding: chunked\r\n"
	case ask.Framing != "connection":
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return err
	}
	if err := writePiece(c, body[:len(body)/2], chunked); err != nil {
		return err
	}
	time.Sleep(hold)
	if err := writePiece(c, body[len(body)/2:], chunked); err != nil {
		return err
	}
	if chunked {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err
	}
	return nil
}

func writePiece(c net.Conn, piece string, chunked bool) error {
	if chunked && piece != "" {
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	_, err := io.WriteString(c, piece)
	return err
}

// Replica is a replica's process.
type Replica struct {
	ID     string
	cmd    *exec.Cmd
	exited chan struct{}

	mu    sync.Mutex
	lines []string
}

// StartReplica starts this program again as a replica.
func StartReplica(s *Site, id, service, zone string, slots int) (*Replica, error) {
	r := &Replica{ID: id, exited: make(chan struct{})}
	r.cmd = exec.Command(os.Args[0], "replica", s.Store.Address(), id, service, zone, strconv.Itoa(slots))
	r.cmd.Stderr = os.Stderr
	r.cmd.SysProcAttr = endsWithParent
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			r.mu.Lock()
			r.lines = append(r.lines, scanner.Text())
			r.mu.Unlock()
		}
		_ = r.cmd.Wait()
		close(r.exited)
	}()
	return r, nil
}

// Lines returns what the replica has written so far.
func (r *Replica) Lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.lines...)
}

// Count returns how many lines say what, about the request with the given ID if that is not empty.
func (r *Replica) Count(what, id string) int {
	n := 0
	for _, line := range r.Lines() {
		f := strings.Fields(line)
		if len(f) >= 3 && f[2] == what && (id == "" || len(f) > 3 && f[3] == id) {
			n++
		}
	}
	return n
}

// Signal sends a signal to the replica's process.
func (r *Replica) Signal(sig syscall.Signal) { _ = r.cmd.Process.Signal(sig) }

// Kill ends the replica's process at once.
func (r *Replica) Kill() {
	r.Signal(syscall.SIGKILL)
	<-r.exited
}

// Exited reports whether the process has ended.
func (r *Replica) Exited() bool {
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}
