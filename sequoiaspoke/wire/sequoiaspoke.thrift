// The peer link: what two nodes say to each other.
//
// Both ends of a link may call. A call is one frame: the length in four bytes,
// then a thrift message in the compact protocol. Optional fields are left out
// where they hold their default, which keeps a heartbeat at a few dozen bytes.

namespace py gen

// What a node says of itself with every heartbeat.
struct Status {
  1: optional i64 version,
  2: optional binary root,
  3: optional i64 refused_version,
  4: optional binary refused_root,
  5: optional i64 vms_revision,
  6: optional i32 watch,
  7: optional i32 spare,
  8: optional map<string, binary> digests,
}

struct Hello {
  1: string name,
  2: string zone,
  3: i64 incarnation,
  4: Status status,
}

// A head as its difference from another; whole where base_root is empty.
struct HeadDelta {
  1: i64 version,
  2: binary root,
  3: optional binary base_root,
  4: optional map<string, binary> changed,
  5: optional list<string> removed,
}

struct Announcement {
  1: i64 version,
  2: optional binary root,
  3: optional HeadDelta delta,
  4: optional i64 vms_revision,
}

struct HeadQuestion {
  1: i64 version,
  2: binary root,
  3: optional binary base_root,
}

struct HeadAnswer {
  1: optional HeadDelta delta,
}

struct PartsQuestion {
  1: list<binary> digests,
}

struct Part {
  1: binary digest,
  2: binary packed,
}

// Holds the parts that the peer has and that fit; the rest is asked elsewhere.
struct PartsAnswer {
  1: list<Part> parts,
  2: optional bool busy,
}

struct VmsQuestion {
  1: i64 revision,
}

// A VM list as its difference from another; whole where base is 0.
struct VmsAnswer {
  1: i64 revision,
  2: optional i64 base,
  3: optional binary packed,
  4: optional list<string> removed,
}

// Which assignment holds, and since which number; see core/idempotency/epoch.
struct Epoch {
  1: optional i64 number,
  2: optional binary digest,
  3: optional i64 since,
}

// Asks a witness whether a home's assignment still holds; a silent one does not
// answer. Travels in single datagrams.
struct VouchQuestion {
  1: string to,
  2: string service_name,
  3: string target,
  4: i64 round,
  5: Epoch targets,
  6: Epoch members,
  7: Epoch holder,
}

// Leaves out the epochs that are just what was asked.
struct VouchAnswer {
  1: string witness,
  2: string target,
  3: i64 round,
  4: optional Epoch targets,
  5: optional Epoch members,
  6: optional Epoch holder,
}

service PeerLink {
  Hello greet(1: Hello question),
  Status beat(1: Status question),
  oneway void announce(1: Announcement question),
  HeadAnswer fetch_head(1: HeadQuestion question),
  PartsAnswer fetch_parts(1: PartsQuestion question),
  VmsAnswer fetch_vms(1: VmsQuestion question),
  VouchAnswer vouch(1: VouchQuestion question),
}
