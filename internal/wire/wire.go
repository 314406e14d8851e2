// Package wire holds the messages that instances send to each other.
//
// This file is the schema; wire_gen.go is generated from it. Messages are
// msgpack tuples: fields are known by their position, so a field is only ever
// added at the end of a message and never removed.
package wire

import "github.com/tinylib/msgp/msgp"

//go:generate msgp -tests=false -o wire_gen.go

//msgp:tuple Hello Frame Member Beat Gossip Ask Verdict Release Report Rest Grant Sync Claim ClaimReply Settle SettleReply StateRequest StateReply Place HandOver CellLoad ClaimRecord StreamRequest StreamReply StreamRecord StreamRecords News Holder Load Gone Reserve Room Vacate Occupancy Suspects Suspect SuspectEnd SuspectsRequest ShelvedSuspect Trial TrialReply ReleaseRequest ReleaseReply EvacuationsRequest EvacuationsReply Evacuation

// A list's length is believed before its elements are there: ten bytes of a peer that claim four
// thousand million of them would end whoever reads them for want of memory, each time that they
// are told. No message has a list near this long. The bound holds for bytes too, and a value may
// be as long as a frame: its field says so.
//
//msgp:limit arrays:65536 marshal:false

// Kind says what a frame's body is.
type Kind uint8

// The kinds of frame.
const (
	KindReply Kind = iota
	KindGossip
	KindAsk
	KindRelease
	KindReport
	KindSync
	KindClaim
	KindSettle
	KindState
	KindHandOver
	KindCellLoad
	// KindHello is the first frame on a connection.
	KindHello
	// KindError is a reply that carries no body: the peer could not answer.
	KindError
	// KindStream asks for the records of a stream.
	KindStream
	// KindNews tells where prompts are and how loaded targets are.
	KindNews
	// KindGone tells that processes of targets are gone.
	KindGone
	// KindRelay is KindNews for all instances of the receiver's data centre, which it
	// passes it on to as KindNews.
	KindRelay
	// KindReserve asks the home of a target for room for a call.
	KindReserve
	// KindVacate ends such a reservation.
	KindVacate
	// KindOccupancy tells the home of a target how loaded that is.
	KindOccupancy
	// KindSuspects tells of calls under which targets have ended.
	KindSuspects
	// KindSuspectsRelay is KindSuspects for all instances of the receiver's data centre.
	KindSuspectsRelay
	// KindSuspectsRequest asks for all that an instance knows of such calls.
	KindSuspectsRequest
	// KindTrial asks the home of a suspected call whether it may be sent, or tells that it was.
	KindTrial
	// KindReleaseRequest asks to release calls that are held back.
	KindReleaseRequest
	// KindEvacuations asks which data centres are evacuated.
	KindEvacuations
	// KindLeaving tells, as a Gone, of processes of targets that said that they leave.
	KindLeaving
	// KindRest tells the home of a cell that a target has asked for rest.
	KindRest
	// Kinds is how many kinds there are.
	Kinds
)

// Hello is the first message on a connection and says who sends on it, so that
// the others need not.
type Hello struct {
	From uint64
}

// Frame is what goes over a connection, after its length as a varint. ID pairs a
// reply with its request; zero asks for no reply.
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
	Revision uint64
	Beats    []Beat
	Members  []Member
	Unknown  []uint64
}

// Ask asks a cell's home for a place. The entry that asks is the sender.
type Ask struct {
	Seq      uint32
	Cell     uint32
	Rule     uint32
	Customer uint32
	Chat     uint64
	Prompt   uint32
	Hint     uint32
	Excluded []uint32
	// WaitedMs is how long the request has waited for its place already.
	WaitedMs uint32
	// Sent says that another cell's home sent the request here.
	Sent bool
}

// Verdict answers an Ask. Reason is a granter.Reason. When it sends the request
// elsewhere, Target is the cell to ask. Flags are FlagReturned and FlagTell.
type Verdict struct {
	Reason       uint8
	Target       uint32
	Flags        uint8
	RetryAfterMs uint32
}

// The flags of a Verdict.
const (
	// FlagReturned says that the target holds the chat's prefix.
	FlagReturned uint8 = 1 << iota
	// FlagTell asks for a Report when the target's answer begins.
	FlagTell
)

// Release ends a grant.
type Release struct {
	Seq       uint32
	Cell      uint32
	OK        bool
	NeverSent bool
}

// Rest passes on that a target has asked for rest as it turned a request away.
type Rest struct {
	Cell   uint32
	Target uint32
	ForMs  uint32
}

// Report passes on what a target said of itself as its answer began. Requests is
// negative when it reports no load, Incarnation zero when nothing is new.
type Report struct {
	Cell        uint32
	Target      uint32
	Requests    int32
	Incarnation uint64
	Leaving     bool
}

// Grant is one place that an entry holds.
type Grant struct {
	Seq      uint32
	Target   uint32
	Customer uint32
}

// Sync lists all places that an entry holds in a cell, of those up to a number.
type Sync struct {
	Cell   uint32
	UpTo   uint32
	Grants []Grant
}

// Claim asks the home of a key's partition to claim it.
type Claim struct {
	Key        uint64
	Body       uint64
	ID         uint64
	DeadlineMs int64
}

// ClaimReply answers a Claim. State is a claimer.Outcome.
type ClaimReply struct {
	State        uint8
	Status       int
	ContentType  string
	Answer       []byte `msg:"Answer,limit=16777216"`
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
	Answer      []byte `msg:"Answer,limit=16777216"`
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

// StateReply carries a reducer.State as JSON, and the offset up to which the
// peer has folded. An empty body means nothing newer.
type StateReply struct {
	Next uint64
	Body []byte `msg:"Body,limit=16777216"`
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

// CellLoad tells the homes of a pool's other cells of the load on one: the work
// in flight in thousandths of a request, and how many requests it runs at once.
type CellLoad struct {
	From   uint32
	To     uint32
	Milli  uint64
	Weight uint32
}

// ClaimRecord is one entry of a claims stream in the platform's log: a claim, or
// how it was settled, when Settled is a claimer.Outcome other than zero.
type ClaimRecord struct {
	Key         uint64
	ID          uint64
	Body        uint64
	LifetimeMs  int64
	Settled     uint8
	Status      int
	ContentType string
	Answer      []byte `msg:"Answer,limit=16777216"`
	Truncated   bool
}

// StreamRequest asks an instance for the records of a stream that it has read,
// from an offset on. It waits for one up to a time. With From below zero it asks
// for the newest record of each key.
type StreamRequest struct {
	Stream string
	From   int64
	WaitMs uint32
}

// StreamReply carries records in their order, and the offset after the last. With
// Whole they are the newest of each key, and keys that are not among them are
// gone. AgeMs is how long ago the sender last heard from the platform. Packed holds, when
// it is not empty, the records in place of Records: a StreamRecords, compressed by DEFLATE.
//
// With Elsewhere there are records, and the instance at that address has them; the sender's link is taken.
// ComingMs is how long ago something last arrived of an answer on its way to the sender, or to whom the sender
// reads through: it knows more in a moment when that is short.
type StreamReply struct {
	Next    int64
	Whole   bool
	AgeMs   uint32
	Records []StreamRecord
	Packed  []byte `msg:"Packed,limit=16777216"`

	Elsewhere string
	ComingMs  uint32
}

// StreamRecords are records in their order.
type StreamRecords struct {
	Records []StreamRecord
}

// StreamRecord is one record. Without a value its key was dropped. With Packed the
// value is compressed by DEFLATE.
type StreamRecord struct {
	Key    string
	Value  []byte `msg:"Value,limit=16777216"`
	Offset int64
	Packed bool
}

// News tells other instances which targets the sender has given beginnings of
// prompts to lately, and what targets told it of their load.
type News struct {
	Holders []Holder
	Loads   []Load
}

// Gone tells of processes at whose addresses the sender met other targets: the IDs of their
// targets, and when they started in Unix milliseconds, the zero time's where that is not
// known. Both lists are of one length.
type Gone struct {
	Targets  []string
	StartsMs []int64
}

// Holder says that a target holds a beginning of prompts. Target is the short name of
// its process, the same at all instances.
type Holder struct {
	Key    uint64
	Target uint32
}

// Load says how many calls a target had, running and waiting, and how long ago it
// said so. Target is as in Holder.
type Load struct {
	Target uint32
	Calls  uint32
	AgeMs  uint32
}

// Reserve asks the home of a target for room for one call. Target is as in Holder, Number
// the sender's own for the reservation. Most is how many calls the target may have with
// this one, and WithinMs when it is over at the latest. Usual is how long targets of the
// group take to begin an answer, in hundredths of the time within which it is of full use.
// Anyway asks for room though the target is to be left alone.
type Reserve struct {
	Target   uint32
	Number   uint64
	Most     uint32
	WithinMs uint32
	Usual    uint32
	Anyway   bool
}

// Room answers a Reserve: what became of it, as aggregator.Outcome counts, how many calls the
// target has, and how long it takes to begin an answer, in hundredths as in Reserve, zero
// when that is not known.
type Room struct {
	Outcome uint8
	Calls   uint32
	Pace    uint32
}

// Vacate ends the reservation of that number. Sign is what the call showed of the target, as
// aggregator.Sign counts, and Pace how long its answer took to begin, in hundredths as in
// Reserve, zero when it did not begin.
type Vacate struct {
	Target uint32
	Number uint64
	Sign   uint8
	Pace   uint32
}

// Occupancy is how many calls a target said just now that it has, running and waiting.
type Occupancy struct {
	Target uint32
	Calls  uint32
}

// Suspects tells of calls under which targets have ended. As an answer it has the sender's
// State; the asker tells what that lacks. Informed says that the sender knows what was held back
// before it started.
type Suspects struct {
	Calls    []Suspect
	State    uint64
	Informed bool
}

// Suspect is one such call, by its digest, how long ago it last came, and the ends.
type Suspect struct {
	Call   uint64
	SeenMs uint32
	Ends   []SuspectEnd
}

// SuspectEnd is the end of a process, by its short name as in Holder, how long ago it was, and
// whether the call was served since, and whether it had been served shortly before.
type SuspectEnd struct {
	Target  uint32
	AgeMs   uint32
	Excused bool
	Known   bool
}

// SuspectsRequest asks for all Suspects that an instance knows of, unless its state is the
// asker's own.
type SuspectsRequest struct {
	State uint64
}

// ShelvedSuspect is a Suspect as it is kept outside of the instances, with the time to which its
// ages go, in Unix milliseconds.
type ShelvedSuspect struct {
	Suspect   Suspect
	WrittenMs int64
}

// Trial asks the home of a suspected call whether it may be sent to a target now; with Over it
// tells that the target has answered, or has ended. Known is what the sender knows of the call.
type Trial struct {
	Call  uint64
	Over  bool
	Known Suspects
}

// TrialReply answers a Trial that is not over, with what the home knows of the call.
type TrialReply struct {
	Granted bool
	Known   Suspects
}

// ReleaseRequest asks to release calls that are held back, those of the digests or, with All,
// every one.
type ReleaseRequest struct {
	Calls []uint64
	All   bool
}

// ReleaseReply says which calls were released.
type ReleaseReply struct {
	Calls []uint64
}

// EvacuationsRequest asks which data centres an instance takes to be evacuated, or whether one of
// them is.
type EvacuationsRequest struct {
	DataCentre string
}

// EvacuationsReply lists them.
type EvacuationsReply struct {
	Evacuations []Evacuation
}

// Evacuation is a data centre that takes no calls, with how long the instance has known it, how many
// targets it has, and how many calls run there: those of the instance, and its estimate of all.
type Evacuation struct {
	DataCentre string
	AgeMs      uint64
	Targets    uint32
	Own        uint32
	All        uint32
}
