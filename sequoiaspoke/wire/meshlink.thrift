// The mesh link: calls between the node that a caller speaks to and the node
// beside the upstream, and what nodes tell each other of the platform.
//
// A frame is the length in four bytes, then one Frame in the compact protocol
// with exactly one field set. Calls interleave freely on one link.

namespace py gen.meshlink

// First frame of the node that opened the link.
struct Hello {
  1: string host,
  2: i64 incarnation,
  3: string zone,
  4: double clock,
  5: bool uninformed,
  // Bits of what this node understands beyond the first protocol; see linkfeatures.
  6: optional i32 features,
}

// First frame of the node that accepted it.
struct Welcome {
  1: i64 incarnation,
  2: double clock,
  3: bool leaving,
  4: bool uninformed,
  // As for Hello.
  5: optional i32 features,
}

struct Call {
  1: i64 number,
  2: string instance,
  3: string route,
  4: string method,
  5: string target,
  6: list<string> headers,
  7: binary body,
  // By the clock of the node that accepted the link.
  8: double deadline,
  11: double on_time,
  9: i32 rank,
  10: bool idempotent,
  // Start of the instance, as for Endpoint.
  12: i64 born,
  // Bytes of the body if it follows in parts; absent if `body` is complete.
  13: optional i32 body_size,
  // Seconds that the call may wait for a slot; beyond them the home refuses it as busy.
  // Absent if it may wait as long as its deadline allows.
  14: optional double max_wait,
  // Whether no other home takes the call; a home that stops runs it then although the
  // call may outlast it.
  15: optional bool last_resort,
  // Longest duration of an answered call of the route that the sender knows of, and the
  // seconds since the first of them began. Absent if it knows of none.
  16: optional double longest_seen,
  17: optional double measured_for,
}

// The home has the body of a call up to `offset` and requests the bytes up to `upto`.
struct Fetch {
  1: i64 number,
  2: i32 offset,
  3: i32 upto,
}

// A part of a requested body.
struct BodyPart {
  1: i64 number,
  2: i32 offset,
  3: binary data,
}

// Takes a call back unless it has been sent to the upstream. If it has not, its outcome
// is that it has not run; otherwise nothing changes.
struct Withdraw {
  1: i64 number,
}

// A home's word on the load of its upstream.
struct News {
  1: double strain,
  2: double expected,
  3: double wait,
}

struct Answer {
  1: i64 number,
  2: i32 status,
  3: list<string> headers,
  4: binary body,
  5: double seconds,
  6: News news,
}

struct NotRun {
  1: i64 number,
  2: string reason,
  3: double retry_after,
  4: bool reached,
  5: News news,
}

// The end of an upstream under the requests that it ran, by their fingerprints.
struct Crash {
  // Unique among all crashes.
  1: string name,
  2: string instance,
  3: string service_name,
  // Seconds since then.
  4: double age,
  5: list<string> suspects,
  // The one that was under suspicion before, if there was only one.
  6: list<string> proven,
  // Those that were answered since.
  7: list<string> cleared,
}

struct Unknown {
  1: i64 number,
  2: string reason,
  3: optional Crash crash,
}

struct Cancel {
  1: i64 number,
}

struct Ping {
  1: double sent,
}

struct Pong {
  1: double sent,
  2: double clock,
  3: News news,
}

struct Leaving {
}

// Asks for what the other node knows of the platform, if that is newer.
struct Ask {
  1: i64 config_version,
  // Seconds since what this node knows was current.
  2: double age,
}

// Asks for every change from now on, after all that is known now.
struct Subscribe {
  1: i64 config_version,
  // As for Holds.
  2: bool first,
  // Address of the subscriber's VM and the rate of its network link, 0 if not known.
  3: string host,
  4: double link_mbps,
}

// Tells the readers of a zone what a subscriber has by now.
struct Holds {
  1: i64 config_version,
  // Whether it wants a new configuration from this reader first.
  2: bool first,
}

struct Endpoint {
  1: string instance,
  2: string service_name,
  3: string host,
  4: i32 port,
  5: string zone,
  6: i32 slots,
  7: bool draining,
  8: double cold_seconds,
  9: i64 revision,
  // Unix milliseconds of the start; starts under one name are told apart by it.
  10: i64 born,
  // Whether the entry can be read as it stands in the store.
  11: bool readable,
}

struct Gone {
  1: string instance,
  2: i64 revision,
  3: i64 born,
  // Whether that start had said that it leaves.
  4: bool drained,
}

struct Share {
  1: string service_name,
  2: i32 weight,
}

struct Route {
  1: string name,
  2: string host,
  3: string prefix,
  4: bool idempotent,
  5: double timeout,
  6: double objective,
  7: i32 priority,
  8: i32 attempts,
  9: list<Share> split,
  10: list<string> regions,
  11: bool large_bodies = false,
}

struct Service {
  1: string name,
  2: string health_path,
  // Calls a second that a cold upstream bears, 0 if there is no bound.
  3: double cold_rate,
  4: double cold_seconds,
}

// The order to send nothing to the upstreams of a zone or its end, and the store's
// revision at which it was written.
struct Evacuation {
  1: string zone,
  2: i64 revision,
  3: bool ended,
}

struct Limits {
  1: i32 header_bytes,
  2: i32 body_bytes,
  3: double header_timeout,
  4: double idle_timeout,
}

// What differs between two versions; all of the newer one if base is 0.
struct ConfigDelta {
  1: i64 base,
  2: i64 version,
  3: i64 revision,
  4: list<Route> routes,
  5: list<string> removed,
  6: list<Service> services,
  7: Limits limits,
}

struct Knowledge {
  1: i64 revision,
  // When this was current, by the clock of the node that tells it.
  2: double as_of,
  // Whether every endpoint is here; one that is not has left.
  3: bool whole,
  4: list<Endpoint> endpoints,
  5: list<Gone> gone,
  // Endpoints whose entries vanished around an outage of the store.
  6: list<Gone> lapsing,
  // A ConfigDelta, compressed.
  7: optional binary config,
  // Rates of the network links of VMs in the zone, by address.
  8: optional map<string, double> link_rates,
  // The last order of each zone.
  9: optional list<Evacuation> evacuations,
}

// Nothing has changed at this node beyond what the subscriber was told.
struct Confirmed {
  1: i64 revision,
  // When that was all that the store had, by the clock of the node that tells it.
  2: double as_of,
  // When the store last answered this node, if with news that are not read yet.
  3: double answered_at,
}

// What a node knows of crashes.
struct Crashes {
  1: list<Crash> crashes,
  // Shared only by nodes that know the same.
  2: i64 checksum,
  // Whether the other node is to tell all it knows if its checksum differs.
  3: bool compare,
  // Whether these are all crashes that the node knows.
  4: bool whole,
}

// Rates of the network links of the fastest VMs that a node knows in its zone, and of
// its own, in Mbit/s by address.
struct LinkRates {
  1: string zone,
  2: map<string, double> rates,
  // Whether this answers such a frame; it is not answered itself.
  3: bool answers,
}

struct Frame {
  1: optional Hello hello,
  2: optional Welcome welcome,
  3: optional Call call,
  4: optional Answer answer,
  5: optional NotRun not_run,
  6: optional Unknown unknown,
  7: optional Cancel cancel,
  8: optional Ping ping,
  9: optional Pong pong,
  10: optional Leaving leaving,
  11: optional Ask ask,
  12: optional Knowledge knowledge,
  13: optional Subscribe subscribe,
  14: optional Confirmed confirmed,
  15: optional Holds holds,
  16: optional Crashes crashes,
  17: optional LinkRates link_rates,
  18: optional Fetch fetch,
  19: optional BodyPart body_part,
  20: optional Withdraw withdraw,
}
