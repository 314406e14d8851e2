// Package wire defines the messages that instances send to each other.
//
// This file is the schema; wire_gen.go is generated from it. Messages are
// msgpack tuples: fields are identified by their position, so a field may only be
// added at the end of a message, and none may be removed or moved.
package wire

import "github.com/tinylib/msgp/msgp"

//go:generate msgp -tests=false -o wire_gen.go

//msgp:tuple Hello Frame Member Heartbeat Gossip SlotRequest SlotReply Release Report Backoff Grant Sync Claim ClaimReply Settle SettleReply StateRequest StateReply Placement HandOver CellLoad ClaimRecord StreamRequest StreamReply StreamRecord StreamRecords Update Holder LoadReport Gone Reserve ReserveReply Vacate Occupancy Suspects Suspect SuspectCrash SuspectsRequest QuarantineRecord Trial TrialReply ReleaseRequest ReleaseReply EvacuationsRequest EvacuationsReply Evacuation DelegationRequest DelegationGrant Capacity StreamVersions StreamVersion VersionRequest VersionReply StreamVersionReply StreamNotes VersionStreams UsedVersions GossipReply CentreBeat MemberList CentreMembers MemberState MembersRequest ProbeRequest ProbeReply

// The decoder allocates a list from its declared length before it reads the elements. Without a
// limit, a message of ten bytes that declares 2^32 elements would exhaust the receiver's memory.
// No message has a list near the limit. It applies to byte slices too, so fields whose value may
// be as long as a frame set a limit of their own.
//
//msgp:limit arrays:65536 marshal:false

// Kind is the type of a frame's body. The numbers are part of the protocol.
type Kind uint8

// The kinds of frame.
const (
	KindReply Kind = iota
	KindGossip
	KindSlotRequest
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
	// KindError is a reply without a body: the peer could not handle the request.
	KindError
	// KindStream requests the records of a stream.
	KindStream
	// KindUpdate reports which targets have cached which prompt prefixes, and the load of targets.
	KindUpdate
	// KindGone reports that processes of targets are gone.
	KindGone
	// KindUpdateRelay is KindUpdate for all instances of the receiver's data centre. The receiver
	// forwards it to them as KindUpdate.
	KindUpdateRelay
	// KindReserve requests a slot for a call from the home of a target (home node).
	KindReserve
	// KindVacate releases a slot that was reserved with KindReserve.
	KindVacate
	// KindOccupancy reports the load of a target to its home.
	KindOccupancy
	// KindSuspects reports calls during which targets crashed.
	KindSuspects
	// KindSuspectsRelay is KindSuspects for all instances of the receiver's data centre.
	KindSuspectsRelay
	// KindSuspectsRequest requests all records that an instance has of calls during which targets crashed.
	KindSuspectsRequest
	// KindTrial requests a trial of a suspected call from its home, or reports that the trial is finished.
	KindTrial
	// KindReleaseRequest requests the release of quarantined calls.
	KindReleaseRequest
	// KindEvacuations requests the list of evacuated data centres.
	KindEvacuations
	// KindLeaving reports, with a body like that of KindGone, processes of targets that announced their shutdown.
	KindLeaving
	// KindBackoff reports to the home of a cell that a target requested a backoff.
	KindBackoff
	// KindDelegation requests permission to send calls through the receiver.
	KindDelegation
	// KindCapacity reports how many calls a target takes while it is brittle.
	KindCapacity
	// KindStreamVersions reports the software versions that began streams.
	KindStreamVersions
	// KindVersion requests the software version that began a stream.
	KindVersion
	// KindMembers reports changes of the membership.
	KindMembers
	// KindMembersRequest requests the members of the parts in which two instances differ.
	KindMembersRequest
	// KindProbe requests that the receiver probes another instance for the sender.
	KindProbe
	// KindStreamVersion requests the software version that began a stream from an instance that writes notes to the log.
	KindStreamVersion
	// KindStreamsBegun reports, with a body like that of KindStreamVersions, streams of groups with one software version. They are
	// kept in memory only.
	KindStreamsBegun
	// Kinds is the number of kinds.
	Kinds
)

// Hello is the first message on a connection. It identifies the sender of all
// further frames on the connection.
type Hello struct {
	From uint64
}

// Frame is the unit of transfer on a connection, preceded by its length as a
// varint. ID matches a reply to its request; zero means that no reply is expected.
type Frame struct {
	Kind Kind
	ID   uint32
	Body msgp.Raw
}

// Member describes a router to instances that do not know it yet.
type Member struct {
	ID         uint64
	Address    string
	Region     string
	DataCentre string
}

// Heartbeat reports that a router, which the receiver knows as a Member, is alive.
type Heartbeat struct {
	ID uint64
	// Count increases while the router is alive.
	Count uint32
	// Leaving reports that the router is shutting down as planned.
	Leaving bool
}

// Gossip is a probe, with the sender's heartbeat and the configuration revision in force
// there. Members introduces the sender to a receiver that may not know it. Routers of the
// earlier release send it without expecting a reply, with the heartbeats of others, and
// list in Unknown the IDs of routers whose Member they request.
type Gossip struct {
	Revision   uint64
	Heartbeats []Heartbeat
	Members    []Member
	Unknown    []uint64
}

// GossipReply is the reply to a Gossip that is sent as a request; instances of earlier releases reply with
// KindError. From is the ID of the replying process, and Digest that of all members that it considers alive. Beats
// are the newest beats of the data centres that it knows. Unknown reports that it does not know the sender. Members
// contains the replying instance if the request contained a Member.
type GossipReply struct {
	From     uint64
	Revision uint64
	Digest   uint64
	Beats    []CentreBeat
	Unknown  bool
	Members  []Member
}

// CentreBeat is a number that increases while any instance of a data centre is alive.
type CentreBeat struct {
	DataCentre string
	Count      uint64
}

// MemberList describes members, in groups by data centre.
type MemberList struct {
	Centres []CentreMembers
}

// CentreMembers describes members of one data centre.
type CentreMembers struct {
	Region     string
	DataCentre string
	Members    []MemberState
}

// MemberState is what the sender knows of the state of a member. Of two states of the same member, the one with the
// higher Count is the newer one. Address is the binary form of a netip.AddrPort.
type MemberState struct {
	ID      uint64
	Address []byte
	Count   uint32
	State   uint8
}

// MembersRequest requests all members of the buckets whose digest differs from that of the receiver.
type MembersRequest struct {
	Digests []uint64
}

// ProbeRequest names the instance that the receiver is to probe.
type ProbeRequest struct {
	ID      uint64
	Address string
}

// ProbeReply reports that the probed instance has answered.
type ProbeReply struct{}

// SlotRequest requests a slot from the home of a cell. The requester is the sender, and Seq
// its sequence number of the request. Customer is the hash of the customer's name, Prompt the
// estimated length of the prompt in tokens, and Hint the ID of the target that the caller's
// placement token names. Excluded are the IDs of the targets that must not be chosen.
type SlotRequest struct {
	Seq      uint32
	Cell     uint32
	Rule     uint32
	Customer uint32
	Chat     uint64
	Prompt   uint32
	Hint     uint32
	Excluded []uint32
	// WaitedMs is how long the request has waited for a slot so far.
	WaitedMs uint32
	// Forwarded reports that the home of another cell forwarded the request to this one.
	Forwarded bool
}

// SlotReply is the reply to a request for a slot. Reason is a granter.Reason. Target is
// the ID of the target of the granted slot or, when the home forwards the request to
// another cell, the ID of that cell. Flags are a combination of the Flag constants.
type SlotReply struct {
	Reason       uint8
	Target       uint32
	Flags        uint8
	RetryAfterMs uint32
}

// The flags of the reply to a request for a slot.
const (
	// FlagAtPlacement means that the target has cached the chat's prompt prefix.
	FlagAtPlacement uint8 = 1 << iota
	// FlagReportDue requests a Report when the target's answer begins.
	FlagReportDue
)

// Release returns the slot that was granted for the request Seq. OK reports that the target
// answered, and NeverSent that the call was certainly not sent.
type Release struct {
	Seq       uint32
	Cell      uint32
	OK        bool
	NeverSent bool
}

// Backoff reports that a target refused a request and requested a backoff of DurationMs milliseconds.
type Backoff struct {
	Cell       uint32
	Target     uint32
	DurationMs uint32
}

// Report forwards the state that a target reported when its answer began. A negative
// Requests means that there is no load report, and an Incarnation of zero that the state
// has not changed.
type Report struct {
	Cell        uint32
	Target      uint32
	Requests    int32
	Incarnation uint64
	Leaving     bool
}

// Grant is one slot that an instance has been granted, with the sequence number of its request.
type Grant struct {
	Seq      uint32
	Target   uint32
	Customer uint32
}

// Sync lists all slots that an instance holds in a cell, among those with a
// sequence number of at most UpTo.
type Sync struct {
	Cell   uint32
	UpTo   uint32
	Grants []Grant
}

// Claim requests the home of a key's partition to claim the key. ID identifies the claim,
// Body is the hash of the request body, and DeadlineMs the time left until the call's
// deadline.
type Claim struct {
	Key        uint64
	Body       uint64
	ID         uint64
	DeadlineMs int64
}

// ClaimReply is the reply to a Claim. State is a claimer.Outcome.
type ClaimReply struct {
	State        uint8
	Status       int
	ContentType  string
	Answer       []byte `msg:"Answer,limit=16777216"`
	Truncated    bool
	RetryAfterMs uint32
}

// Settle requests that the outcome of a claimed call be recorded. State is a claimer.Outcome.
type Settle struct {
	Key         uint64
	ID          uint64
	State       uint8
	Status      int
	ContentType string
	Answer      []byte `msg:"Answer,limit=16777216"`
	Truncated   bool
}

// SettleReply reports whether the outcome was recorded in the log.
type SettleReply struct {
	Recorded bool
}

// StateRequest requests the configuration state of a peer, if it is newer than a
// revision.
type StateRequest struct {
	Newer uint64
}

// StateReply carries a reducer.State as JSON, and the offset of the first record
// that the peer has not applied. An empty body means that it has nothing newer.
type StateReply struct {
	Next uint64
	Body []byte `msg:"Body,limit=16777216"`
}

// Placement records which target served a chat last.
type Placement struct {
	Chat   uint64
	Target uint32
	Tokens uint32
}

// HandOver transfers placements of a cell to its next home.
type HandOver struct {
	Cell       uint32
	Placements []Placement
}

// CellLoad reports the load of the cell From to the home of the cell To of the same pool.
// MilliRequests is the work in flight, in thousandths of a request. Weight is the number
// of requests that the cell can run at once.
type CellLoad struct {
	From          uint32
	To            uint32
	MilliRequests uint64
	Weight        uint32
}

// ClaimRecord is one entry of a claims stream in the platform's log: a claim or,
// when Settled is not zero, its outcome. Settled is a claimer.Outcome.
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

// StreamRequest requests the records of a stream that an instance has read, from an
// offset on. The receiver waits up to WaitMs for a record. A negative From requests
// the newest record of each key. Era is the era of the offset: the number that the platform
// raises each time that it comes back from an older copy.
type StreamRequest struct {
	Stream string
	From   int64
	WaitMs uint32
	Era    uint64
}

// StreamReply carries records in order, and the offset after the last. Either they
// are the records from the requested offset on, or they are a snapshot: the newest
// record of each key, in which keys that were deleted are missing.
// AgeMs is how long ago the platform last confirmed that the sender's records are the
// newest. Packed, unless it is empty, replaces Records: it is a StreamRecords, compressed
// by DEFLATE.
//
// RedirectTo, unless it is empty, is the address of another instance that has the records:
// the sender's link has no capacity left for them, and Records is empty. LastArrivalMs is
// how long ago the sender last received a part of a reply that is still being transferred
// to it or to its upstream instance: while that is short, the sender is about to have newer
// records. Era is the era of all offsets in the reply. If it is later than that of the request,
// the records are a snapshot.
type StreamReply struct {
	Next     int64
	Snapshot bool
	AgeMs    uint32
	Records  []StreamRecord
	Packed   []byte `msg:"Packed,limit=16777216"`

	RedirectTo    string
	LastArrivalMs uint32
	Era           uint64
}

// StreamRecords is a list of records in order.
type StreamRecords struct {
	Records []StreamRecord
}

// StreamRecord is one record. An empty value means that its key was deleted. When Packed
// is set the value is compressed by DEFLATE.
type StreamRecord struct {
	Key    string
	Value  []byte `msg:"Value,limit=16777216"`
	Offset int64
	Packed bool
}

// Update notifies other instances of the prompt prefixes that the sender lately sent to
// targets, with the target of each, and of the loads that targets reported to the sender.
type Update struct {
	Holders []Holder
	Loads   []LoadReport
}

// Gone reports processes that are gone, since the sender found other targets at their
// addresses. Targets are the IDs of their targets. StartsMs are the times at which the
// processes started, in Unix milliseconds; an unknown one is that of the zero time.Time.
// Both lists have the same length.
type Gone struct {
	Targets  []string
	StartsMs []int64
}

// Holder reports that a target has cached a prompt prefix. Target is the short name of
// the target's process, which is the same at all instances.
type Holder struct {
	Key    uint64
	Target uint32
}

// LoadReport is the load of a target: the number of its calls, running and waiting, and
// how long ago the target reported this number. Target is as in Holder.
type LoadReport struct {
	Target uint32
	Calls  uint32
	AgeMs  uint32
}

// Reserve requests a slot for one call from the home of a target. Target is as in Holder;
// Number is the sender's own number of the reservation. MaxCalls is the maximum number of
// calls at the target, including this one. The reservation expires after LifetimeMs.
// MedianLatency is the median latency of the group's targets, in hundredths of the latency
// objective (the time within which an answer is of full use to the caller). A slot at an
// excluded target is granted only if AllowExcluded is set.
type Reserve struct {
	Target        uint32
	Number        uint64
	MaxCalls      uint32
	LifetimeMs    uint32
	MedianLatency uint32
	AllowExcluded bool
}

// ReserveReply is the reply to a Reserve: an aggregator.Outcome, the number of calls at the target,
// and the target's latency in hundredths as in Reserve, zero when it is unknown.
type ReserveReply struct {
	Outcome uint8
	Calls   uint32
	Latency uint32
}

// Vacate releases the reservation with the given Number. Result is an aggregator.Result: what
// the call showed about the target. Latency is the latency of the answer in hundredths as in
// Reserve, zero when no answer began.
type Vacate struct {
	Target  uint32
	Number  uint64
	Result  uint8
	Latency uint32
}

// Occupancy is the number of calls, running and waiting, that a target has just reported.
type Occupancy struct {
	Target uint32
	Calls  uint32
}

// Suspects reports calls during which targets crashed. As a reply it carries the Fingerprint of
// the sender's records, and the requester then sends the records that the sender lacks. Synced
// reports whether the sender has received the records from before its start.
type Suspects struct {
	Calls       []Suspect
	Fingerprint uint64
	Synced      bool
}

// Suspect is a call during which targets crashed: its digest, how long ago the call was last
// received, and the crashes.
type Suspect struct {
	Call       uint64
	LastSeenMs uint32
	Crashes    []SuspectCrash
}

// SuspectCrash is a crash of a target's process while a suspected call ran there. Target is as
// in Holder, and AgeMs is how long ago the crash was. Cleared reports whether the call was
// served since the crash, and ServedBefore whether it had been served shortly before the crash.
type SuspectCrash struct {
	Target       uint32
	AgeMs        uint32
	Cleared      bool
	ServedBefore bool
}

// SuspectsRequest requests all Suspects of an instance. The reply has none when the fingerprint
// of the requester's records equals that of the receiver's.
type SuspectsRequest struct {
	Fingerprint uint64
}

// QuarantineRecord is a Suspect as it is stored outside the instances. Its ages are relative
// to WrittenMs, in Unix milliseconds.
type QuarantineRecord struct {
	Suspect   Suspect
	WrittenMs int64
}

// Trial requests permission from the home of a suspected call to send it to a target now.
// With Finished set, it reports instead that the trial is over, since the target has answered or
// crashed. Known holds the sender's records of the call.
type Trial struct {
	Call     uint64
	Finished bool
	Known    Suspects
}

// TrialReply is the reply to a request for a trial, with the home's records of the call.
type TrialReply struct {
	Granted bool
	Known   Suspects
}

// ReleaseRequest requests the release of quarantined calls: those with the digests in Calls or,
// when All is set, all of them.
type ReleaseRequest struct {
	Calls []uint64
	All   bool
}

// ReleaseReply lists the digests of the calls that were released.
type ReleaseReply struct {
	Calls []uint64
}

// EvacuationsRequest requests the data centres that an instance considers evacuated. An empty
// DataCentre requests all of them, a name only the data centre of that name.
type EvacuationsRequest struct {
	DataCentre string
}

// EvacuationsReply lists the evacuated data centres.
type EvacuationsReply struct {
	Evacuations []Evacuation
}

// Evacuation describes a data centre that is sent no new calls. AgeMs is how long the instance
// has known of the evacuation. Targets is the number of targets in the data centre. OwnCalls are
// the instance's own calls that run there, and AllCalls its estimate of those of all instances.
type Evacuation struct {
	DataCentre string
	AgeMs      uint64
	Targets    uint32
	OwnCalls   uint32
	AllCalls   uint32
}

// DelegationRequest requests permission to send calls through the receiver, because the sender has no links to
// targets.
type DelegationRequest struct{}

// DelegationGrant is the reply to a DelegationRequest: where the sender accepts calls, the token that
// authorizes them, and the groups whose targets the sender does not reach itself.
type DelegationGrant struct {
	Address   string
	Token     string
	Unreached []string
}

// Capacity reports that a brittle target refused a call while it had the given number of calls, running and
// waiting. Target is the ID of its process, and StartMs when that started. The target crashes when it refuses more than
// MaxRefusals calls in a second.
type Capacity struct {
	Target      string
	StartMs     int64
	Calls       uint32
	MaxRefusals uint32
}

// StreamVersions reports the software versions of the targets that began streams.
type StreamVersions struct {
	Streams []StreamVersion
}

// StreamVersion is the software version of the target that began a stream, both as hashes. Of two reports on a stream the
// one with the higher Attempt is valid.
type StreamVersion struct {
	Stream  uint64
	Version uint64
	Attempt uint32
}

// VersionRequest requests what the receiver knows of a stream and of the software versions of its group.
type VersionRequest struct {
	Stream uint64
	Group  string
}

// StreamVersionReply is the reply to a VersionRequest of KindStreamVersion, as VersionReply. Complete reports that Versions
// contains all that were in use for as long as any stream lasts. An instance that reads the log, and may know more soon, has none.
type StreamVersionReply struct {
	Found    bool
	Complete bool
	Version  uint64
	Attempt  uint32
	Versions []uint64
}

// StreamNotes is a record of the log with the software versions that began streams.
type StreamNotes struct {
	Versions []VersionStreams
}

// VersionStreams are the streams that began at a software version. Version and Attempt are as in StreamVersion.
type VersionStreams struct {
	Version uint64
	Attempt uint32
	Streams []uint64
}

// UsedVersions is a record of the log with the software versions of a group that are in use, and the time of day at which it was
// written.
type UsedVersions struct {
	Group     string
	Versions  []uint64
	WrittenMs int64
}

// VersionReply is the reply to a VersionRequest. Found reports that Version and Attempt are those of the stream. Versions
// are those of the group that are in use.
type VersionReply struct {
	Found    bool
	Version  uint64
	Attempt  uint32
	Versions []uint64
}
