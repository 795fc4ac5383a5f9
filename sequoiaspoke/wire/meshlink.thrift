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
}

// First frame of the node that accepted it.
struct Welcome {
  1: i64 incarnation,
  2: double clock,
  3: bool leaving,
  4: bool uninformed,
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

struct Unknown {
  1: i64 number,
  2: string reason,
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

// Asks for what the other node knows of the platform.
struct Ask {
  1: i64 config_revision,
}

struct Item {
  1: string key,
  2: binary value,
  3: i64 revision,
}

// Every endpoint, and the configuration if the other's is older.
struct Knowledge {
  1: i64 revision,
  // Seconds since this was current.
  2: double age,
  3: list<Item> items,
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
}
