"""Hypothesis strategies for rules and requests.

They draw from a small vocabulary so that requests often match rules.
"""

from hypothesis import strategies as st

from sequoiaspoke.core.rules.model import (
    CallPolicy,
    Comparison,
    Condition,
    Field,
    Priority,
    Redirect,
    Refuse,
    RequestHead,
    RouteTo,
    Rule,
)
from sequoiaspoke.core.rules.weights import WeightedService

NAMES = st.sampled_from(["x-a", "x-b"])
WORDS = st.sampled_from(["a", "b", "ab", ""])
SEGMENT = st.sampled_from(["a", "b", "ab", "", "a"])
PATHS = st.lists(SEGMENT, max_size=4).map(lambda parts: "/" + "/".join(parts))
PATTERN_SEGMENT = st.sampled_from(["a", "b", "*", "{id}", ""])
PATTERNS = st.lists(PATTERN_SEGMENT, max_size=4).map(lambda p: "/" + "/".join(p))
METHODS = st.sampled_from(["GET", "POST", "PUT"])


def _values(each):
    return st.lists(each, min_size=1, max_size=2).map(tuple)


def _condition(field, comparison, values, name=""):
    if name == "":
        name = st.just("")
    if comparison is Comparison.PRESENT:
        values = st.just(())
    return st.builds(Condition, st.just(field), st.just(comparison), values, name=name)


CONDITIONS = st.one_of(
    _condition(Field.METHOD, Comparison.EXACT, _values(METHODS)),
    _condition(Field.HOST, Comparison.EXACT, _values(st.sampled_from(["h", "i"]))),
    _condition(Field.ZONE, Comparison.EXACT, _values(st.sampled_from(["z", "y"]))),
    _condition(Field.PATH, Comparison.EXACT, _values(PATHS)),
    _condition(Field.PATH, Comparison.PREFIX, _values(PATHS)),
    _condition(Field.PATH, Comparison.SEGMENTS, _values(PATTERNS)),
    *(
        _condition(field, comparison, _values(WORDS), NAMES)
        for field in (Field.HEADER, Field.QUERY)
        for comparison in (Comparison.EXACT, Comparison.PREFIX, Comparison.PRESENT)
    ),
)
SPLITS = st.lists(
    st.builds(WeightedService, st.sampled_from(["s", "t"]), st.integers(0, 9)),
    min_size=1,
    max_size=2,
).map(tuple)
ACTIONS = st.one_of(
    st.builds(RouteTo, SPLITS, st.sampled_from(["", "x-member"])),
    st.builds(Redirect, PATHS, st.sampled_from([301, 307])),
    st.builds(Refuse, st.integers(400, 599), st.sampled_from(["closed", "no-key"])),
)
POLICIES = st.builds(
    CallPolicy,
    st.sampled_from([0.5, 5.0]),
    st.integers(1, 3),
    st.booleans(),
    st.sampled_from(Priority),
    st.sampled_from(["", "x-member"]),
)


@st.composite
def rule_lists(draw, max_size=12):
    """Draw a tuple of rules with distinct names."""
    bodies = draw(
        st.lists(
            st.tuples(st.lists(CONDITIONS, max_size=3).map(tuple), ACTIONS, POLICIES),
            max_size=max_size,
        )
    )
    return tuple(Rule(f"r{i}", *body) for i, body in enumerate(bodies))


REQUESTS = st.builds(
    RequestHead,
    st.sampled_from(["GET", "POST", "HEAD"]),
    PATHS,
    st.sampled_from(["h", "H:80", "j"]),
    st.dictionaries(NAMES, WORDS, max_size=2),
    st.dictionaries(NAMES, WORDS, max_size=2),
    st.sampled_from(["z", "y", ""]),
)
