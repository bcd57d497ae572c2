package objects

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/bounded"
	"mangoledge.example/mangoledge/internal/platform/rest"
)

const (
	// apiPath is the API group and version of this system's object kinds.
	apiPath = "/apis/mangoledge.example/v1/"
	// DefaultCallTimeout is the deadline of one call.
	DefaultCallTimeout = 2 * time.Second
	// maxResponseBytes bounds a response; a list can have one object per failure domain.
	maxResponseBytes = 64 << 20
	// maxIdleConnections bounds the idle connections that a node keeps to the store.
	maxIdleConnections = 4
)

// Options configure a Client.
type Options struct {
	// BaseURL is the base URL of the object API, such as "http://127.0.0.1:9400".
	BaseURL string
	// Token is sent as a bearer token; empty for none.
	Token string
	// Budget bounds the calls; nil for the default budget.
	Budget *Budget
	// CallTimeout is the deadline of one call; 0 for DefaultCallTimeout.
	CallTimeout time.Duration
	// WatchIdleTimeout is how long a watch may go without an event or bookmark before it ends; 0 for
	// DefaultWatchIdleTimeout.
	WatchIdleTimeout time.Duration
}

// Client is a Store over net/http.
type Client struct {
	options Options
	sender  *rest.Sender
}

// NewClient returns a client of the object API.
func NewClient(options Options) *Client {
	if options.Budget == nil {
		options.Budget = NewBudget(DefaultCallsPerSecond, DefaultBurst)
	}
	if options.CallTimeout == 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	if options.WatchIdleTimeout == 0 {
		options.WatchIdleTimeout = DefaultWatchIdleTimeout
	}
	return &Client{options: options, sender: rest.NewSender(options.BaseURL, options.Token, maxIdleConnections)}
}

// Close closes idle connections.
func (c *Client) Close() { c.sender.Close() }

// Budget returns the budget that the client charges.
func (c *Client) Budget() *Budget { return c.options.Budget }

// Get reads one object.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var out Object
	err := c.do(ctx, call{verb: "get", method: http.MethodGet, kind: kind, name: name}, &out)
	return out, err
}

// List reads all objects of a kind.
func (c *Client) List(ctx context.Context, kind Kind) (List, error) {
	var out List
	err := c.do(ctx, call{verb: "list", method: http.MethodGet, kind: kind}, &out)
	return out, err
}

// Create creates an object that must not exist yet.
func (c *Client) Create(ctx context.Context, object Object) (Object, error) {
	return c.write(ctx, call{verb: "create", method: http.MethodPost, kind: object.Kind, write: true}, object)
}

// Update replaces an object if its version is still the expected one.
func (c *Client) Update(ctx context.Context, object Object) (Object, error) {
	name := object.Metadata.Name
	return c.write(ctx, call{verb: "update", method: http.MethodPut, kind: object.Kind, name: name, write: true}, object)
}

// Delete removes an object if its version is still version.
func (c *Client) Delete(ctx context.Context, kind Kind, name string, version Version) error {
	query := url.Values{"resourceVersion": {strconv.FormatUint(uint64(version), 10)}}
	return c.do(ctx, call{verb: "delete", method: http.MethodDelete, kind: kind, name: name, query: query, write: true}, nil)
}

// call is one call to the store.
type call struct {
	verb   string
	method string
	kind   Kind
	name   string
	query  url.Values
	body   []byte
	write  bool
}

func (c call) String() string {
	if c.name == "" {
		return c.verb + " " + string(c.kind)
	}
	return c.verb + " " + string(c.kind) + "/" + c.name
}

func (c call) path() string {
	path := apiPath + url.PathEscape(string(c.kind))
	if c.name != "" {
		path += "/" + url.PathEscape(c.name)
	}
	if len(c.query) > 0 {
		path += "?" + c.query.Encode()
	}
	return path
}

// noResponseError returns the error of a call without a usable response. A write that was sent may
// have taken effect, so its kind is KindUnknown.
func (c call) noResponseError(sent bool, cause error) *Error {
	kind := KindUnavailable
	if sent && c.write {
		kind = KindUnknown
	}
	return &Error{Kind: kind, Call: c.String(), Cause: cause}
}

func (c *Client) write(ctx context.Context, call call, object Object) (Object, error) {
	body, err := json.Marshal(object)
	if err != nil {
		return Object{}, &Error{Kind: KindRefused, Call: call.String(), Cause: err}
	}
	if len(body) > MaxObjectBytes {
		return Object{}, &Error{
			Kind: KindRefused, Call: call.String(),
			Message: "the object has " + strconv.Itoa(len(body)) + " bytes; the store holds " + strconv.Itoa(MaxObjectBytes),
		}
	}
	call.body = body
	var out Object
	err = c.do(ctx, call, &out)
	return out, err
}

// do makes one call and decodes its response into out.
func (c *Client) do(ctx context.Context, call call, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	if err := c.options.Budget.wait(ctx); err != nil {
		return call.noResponseError(false, errors.Wrap(err, "budget of store calls"))
	}
	resp, sent, err := c.sender.Send(ctx, call.method, call.path(), call.body)
	if err != nil {
		return call.noResponseError(sent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return call.noResponseError(true, err)
	}
	if resp.StatusCode/100 != 2 {
		return responseError(call, resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return call.noResponseError(true, errors.Wrap(err, "answer"))
	}
	return nil
}

// responseError converts an error response to an Error.
func responseError(call call, code int, data []byte) *Error {
	var status Status
	_ = json.Unmarshal(data, &status) // a body that is not a Status still has its HTTP code
	out := &Error{Call: call.String(), Status: code, Message: status.Message, Current: status.Current}
	switch {
	case code == http.StatusConflict:
		out.Kind = KindConflict
	case code == http.StatusNotFound:
		out.Kind = KindNotFound
	case code == http.StatusGone:
		out.Kind = KindCompacted
	case code == http.StatusTooManyRequests:
		out.Kind = KindUnavailable
	case code/100 == 4:
		out.Kind = KindRefused
	case call.write:
		out.Kind = KindUnknown
	default:
		out.Kind = KindUnavailable
	}
	return out
}
