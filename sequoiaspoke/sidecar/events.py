"""What each event in a sidecar's log means, for the reference and its tests."""

from __future__ import annotations

EVENTS = {
    "start": "the process serves",
    "stop": "the process was told to stop and takes leave of its callers",
    "end": "the process ends, by itself or for a setting that cannot be used",
    "reload": "the settings were read anew",
    "reload-failed": "the new settings cannot be used; the old ones stay in force",
    "pause": "this VM stood still",
    "crash": "an error that no code expected; what it belonged to has failed",
    "config": "a version came into force",
    "item-refused": "an item of the store cannot be used; the last good one stays",
    "endpoint": "an upstream joined, changed or leaves",
    "endpoint-missing": "an entry vanished around an outage and stays for now",
    "endpoint-gone": "an upstream left, or its entry lapsed",
    "store-lost": "the store does not answer",
    "store-reached": "the store answers again",
    "store-history-lost": "changes were forgotten; everything is read anew",
    "learnt-from-node": "what was known here was old, and another node told better",
    "readers": "which nodes of the zone read the store has changed",
    "link-up": "a link to another node stands",
    "link-down": "a link to another node ended",
    "link-unreachable": "another node cannot be reached",
    "link-broken": "a link that another node opened ended with an error",
    "attempt-failed": "an endpoint did not serve a call; `again` tells what follows",
    "hedge": "a read is tried at a second endpoint beside a slow first one",
    "call-refused": "a caller was told that its call has not run, and when to return",
    "call-failed": "a caller was told that its call failed and may have run",
    "home-refused": "the node beside the upstream turned a call away",
    "home-failed": "the upstream gave no answer that could be used",
    "lines-left-out": "lines beyond the budget of the second before",
}
