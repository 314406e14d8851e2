package replicator

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/wire"
)

// Client sends requests to an instance on behalf of an operator. It is safe for concurrent use.
type Client struct {
	messenger Messenger
	address   netip.AddrPort
}

// NewClient returns a Client of the instance at an address.
func NewClient(m Messenger, a netip.AddrPort) *Client {
	return &Client{messenger: m, address: a}
}

// Records returns the calls under which at least two targets have crashed since the call was last served:
// at most 64, those with the most crashes first. It fails as Messenger.Call does.
func (k *Client) Records(c context.Context) ([]quarantiner.Record, error) {
	var r wire.Suspects
	if err := k.messenger.Call(c, k.address, wire.KindSuspectsRequest, &wire.SuspectsRequest{}, &r); err != nil {
		return nil, err
	}

	return decode(time.Now(), &r), nil
}

// Release releases the given calls, or all quarantined calls, and returns those that were released. It
// fails as Messenger.Call does; the calls may have been released nevertheless.
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
