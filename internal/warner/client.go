package warner

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/wire"
)

// Client asks an instance on behalf of an operator. It is safe for concurrent use.
type Client struct {
	messenger Messenger
	address   netip.AddrPort
}

// NewClient returns a Client of the instance at an address.
func NewClient(m Messenger, a netip.AddrPort) *Client {
	return &Client{messenger: m, address: a}
}

// Records returns the calls under which two targets or more have ended since they were served
// last, at most 64, those with most ends first. It fails as a Messenger does.
func (k *Client) Records(c context.Context) ([]quarantiner.Record, error) {
	var r wire.Suspects
	if err := k.messenger.Call(c, k.address, wire.KindSuspectsRequest, &wire.SuspectsRequest{}, &r); err != nil {
		return nil, err
	}

	return decode(time.Now(), &r), nil
}

// Release releases calls, or all that are held back, and returns those that were. It fails as a
// Messenger does; the calls may then be released all the same.
func (k *Client) Release(c context.Context, l []digester.Digest, all bool) ([]digester.Digest, error) {
	q := wire.ReleaseRequest{All: all}
	for _, d := range l {
		q.Calls = append(q.Calls, uint64(d))
	}

	var r wire.ReleaseReply
	if err := k.messenger.Call(c, k.address, wire.KindReleaseRequest, &q, &r); err != nil {
		return nil, err
	}

	var o []digester.Digest
	for _, d := range r.Calls {
		o = append(o, digester.Digest(d))
	}

	return o, nil
}
