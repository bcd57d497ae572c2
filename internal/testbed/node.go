package testbed

import (
	"encoding/json"
	"os"
	"path/filepath"

	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/standin/certificate"
	"mangoledge.example/mangoledge/internal/tlsconf"
)

// Node is one mangoledged process.
type Node struct {
	*Process
	Settings settings.Settings
}

// EnablePeerTLS makes nodes that are started afterwards connect to each other over TLS.
func (b *Bed) EnablePeerTLS() error {
	files := &settings.PeerTLS{
		CertFile: filepath.Join(b.Dir, "peer-cert.pem"),
		KeyFile:  filepath.Join(b.Dir, "peer-key.pem"),
		CAFile:   filepath.Join(b.Dir, "peer-cert.pem"),
	}
	b.PeerTLS = files
	return certificate.Write(files.CertFile, files.KeyFile, 1, tlsconf.PeerName)
}

// nodeReadyText is in the log of a node once all its listeners are open.
const nodeReadyText = "msg=started"

// StartNode starts a node in domain. If change is not nil, it is called before each
// attempt and may change all settings but the addresses and the log. environment holds
// additional variables as "NAME=value".
func (b *Bed) StartNode(name ident.Node, domain ident.FailureDomain, change func(*settings.Settings), environment ...string) (*Node, error) {
	var s *settings.Settings
	p, err := b.start(func() (*processSpec, error) {
		var err error
		if s, err = b.nodeSettings(name, domain); err != nil {
			return nil, err
		}
		if change != nil {
			change(s)
		}
		path, err := b.writeSettings(s)
		return &processSpec{
			name: string(name), program: "mangoledged", address: s.CallerListen,
			args: []string{"--settings", path}, environment: environment, readyText: nodeReadyText,
		}, err
	})
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	b.seeds = append(b.seeds, s.PeerListen)
	b.mu.Unlock()
	return &Node{Process: p, Settings: *s}, nil
}

// writeSettings writes the settings of a node to a file and returns its path.
func (b *Bed) writeSettings(s *settings.Settings) (string, error) {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(b.Dir, string(s.Node)+".json")
	return path, os.WriteFile(path, data, 0o600)
}

// nodeSettings starts a host for a node and returns the node's settings, with unused addresses.
func (b *Bed) nodeSettings(name ident.Node, domain ident.FailureDomain) (*settings.Settings, error) {
	host, err := b.startHost(string(name), domain)
	if err != nil {
		return nil, err
	}
	s := &settings.Settings{
		Node:          name,
		Region:        "default",
		FailureDomain: domain,
		Host:          host,
		PeerToken:     peerToken,
		PeerTLS:       b.PeerTLS,
		Seeds:         append([]string(nil), b.seeds...),
		Log:           settings.Log{Level: "debug", Format: "text"},
	}
	if b.platform != nil {
		s.Platform = settings.Platform{ObjectsURL: b.PlatformURL(), CloudURL: b.PlatformURL(), HostListURL: b.PlatformURL(), WeightsURL: b.PlatformURL()}
	}
	for _, address := range []*string{&s.CallerListen, &s.OperatorListen, &s.PeerListen} {
		free, err := b.newAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	s.CallerURL = "http://" + s.CallerListen
	s.PeerAdvertise = s.PeerListen
	s.Tokens = append(s.Tokens, settings.Token{Name: "operator", Role: settings.RoleOperator, SHA256: auth.Digest(OperatorToken)})
	for _, workspace := range b.Workspaces {
		s.Tokens = append(s.Tokens, settings.Token{
			Name: string(workspace), Role: settings.RoleCaller, Workspace: workspace, SHA256: auth.Digest(CallerToken(workspace)),
		})
	}
	return s, nil
}
