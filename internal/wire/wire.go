// Package wire holds the messages that instances send to each other.
//
// This file is the schema; wire_gen.go is generated from it. Messages are
// msgpack tuples: fields are known by their position, so a field is only ever
// added at the end of a message and never removed.
package wire

import "github.com/tinylib/msgp/msgp"

//go:generate msgp -tests=false -o wire_gen.go

//msgp:tuple Frame Member Beat Gossip Ask Verdict Release Grant Sync Claim ClaimReply Settle SettleReply StateRequest StateReply Place HandOver TargetState

// Kind says what a frame's body is.
type Kind uint8

// The kinds of frame.
const (
	KindReply Kind = iota
	KindGossip
	KindAsk
	KindRelease
	KindSync
	KindClaim
	KindSettle
	KindState
	KindHandOver
	KindTargetState
	// KindError is a reply that carries no body: the peer could not answer.
	KindError
)

// Frame is what goes over a connection, after its length in four bytes, the
// highest first. ID pairs a reply with its request; zero asks for no reply.
type Frame struct {
	Kind Kind
	ID   uint32
	Body msgp.Raw
}

// Member introduces a router.
type Member struct {
	ID         uint64
	Address    string
	Region     string
	DataCentre string
}

// Beat is the sign of life of a router that the receiver has been introduced
// to.
type Beat struct {
	ID uint64
	// Count goes up while the router lives.
	Count uint32
	// Leaving says that the router is stopping as planned.
	Leaving bool
}

// Gossip carries the beats of a few routers and the revision in force at the
// sender. Unknown lists routers that the sender wants to be introduced to.
type Gossip struct {
	From     uint64
	Revision uint64
	Beats    []Beat
	Members  []Member
	Unknown  []uint64
}

// Ask asks a cell's home for a place.
type Ask struct {
	Entry    uint64
	Seq      uint32
	Cell     uint32
	Rule     uint32
	Customer uint32
	Chat     uint64
	Prompt   uint32
	Output   uint32
	Hint     uint32
	Excluded []uint32
}

// Verdict answers an Ask. Reason is a granter.Reason.
type Verdict struct {
	Reason       uint8
	Target       uint32
	Returned     bool
	RetryAfterMs uint32
}

// Release ends a grant.
type Release struct {
	Entry       uint64
	Seq         uint32
	Cell        uint32
	Target      uint32
	OK          bool
	NeverSent   bool
	Requests    int32
	Incarnation uint64
	Leaving     bool
}

// Grant is one place that an entry holds.
type Grant struct {
	Seq      uint32
	Target   uint32
	Customer uint32
	Work     uint32
}

// Sync lists all places that an entry holds in a cell, of those up to a number.
type Sync struct {
	Entry  uint64
	Cell   uint32
	UpTo   uint32
	Grants []Grant
}

// Claim asks the home of a key's partition to claim it.
type Claim struct {
	Key        uint64
	Body       uint64
	ID         uint64
	Entry      uint64
	DeadlineMs int64
}

// ClaimReply answers a Claim. State is a claimer.Outcome.
type ClaimReply struct {
	State        uint8
	Status       int
	ContentType  string
	Answer       []byte
	Truncated    bool
	RetryAfterMs uint32
}

// Settle records how a claimed call ended.
type Settle struct {
	Key         uint64
	ID          uint64
	State       uint8
	Status      int
	ContentType string
	Answer      []byte
	Truncated   bool
}

// SettleReply says whether the record is in the log.
type SettleReply struct {
	Recorded bool
}

// StateRequest asks for the configuration state that a peer holds, when it is
// newer than a revision.
type StateRequest struct {
	Newer uint64
}

// StateReply carries a folder.State as JSON, and the offset up to which the
// peer has folded. An empty body means nothing newer.
type StateReply struct {
	Next uint64
	Body []byte
}

// Place is one remembered chat.
type Place struct {
	Chat   uint64
	Target uint32
	Tokens uint32
}

// HandOver passes places of a cell to its next home.
type HandOver struct {
	Cell   uint32
	Places []Place
}

// TargetState passes on what a router saw of a target's incarnation.
type TargetState struct {
	Target      uint32
	Incarnation uint64
	Leaving     bool
}
