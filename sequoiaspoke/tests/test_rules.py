"""Tests of parsing, matching, validating and comparing rules."""

import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from sequoiaspoke.core.rules.compare import matches
from sequoiaspoke.core.rules.diff import compare
from sequoiaspoke.core.rules.grammar import describe_action, describe_conditions
from sequoiaspoke.core.rules.matcher import compile_rules
from sequoiaspoke.core.rules.model import (
    CallPolicy,
    Comparison,
    Condition,
    Endpoint,
    Field,
    Redirect,
    Refuse,
    RequestHead,
    RouteTo,
    Rule,
    Service,
)
from sequoiaspoke.core.rules.parse import parse_declarations
from sequoiaspoke.core.rules.reach import covers, unreachable_rules
from sequoiaspoke.core.rules.request import make_request_head, normalize_path
from sequoiaspoke.core.rules.validate import validate
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.errors import DeclarationsError
from sequoiaspoke.tests.rule_strategies import REQUESTS, rule_lists

PROPERTY = settings(derandomize=True, deadline=None, max_examples=150, database=None)
SERVICES = """\
[service fleet]
slots = 20
connections = 120
mesh_port = 8081
target fleet-1 = vm=v1 zone=akaki address=10.0.0.1
target fleet-2 = vm=v2 zone=bole address=10.0.0.2 slots=10
"""


def rule_text(name, when, then, *lines):
    return "\n".join((f"[rule {name}]", f"when = {when}", f"then = {then}", *lines, ""))


def problems_of(text, file="a.ini"):
    declared = parse_declarations({file: text})
    found = validate(declared.rules, declared.services)
    return [
        declared.locate(each) for each in (*found, *unreachable_rules(declared.rules))
    ]


def naive_index(rules, request):
    for index, rule in enumerate(rules):
        if all(matches(condition, request) for condition in rule.when):
            return index
    return -1


class ParseTests(TestCase):
    def test_files_are_read_in_the_order_of_their_names(self):
        files = {
            "20.ini": rule_text("b", "always", "refuse") + SERVICES,
            "10.ini": "[defaults]\ntimeout = 2\n"
            + rule_text("a", "method post", "route fleet", "idempotent = no"),
        }
        declared = parse_declarations(files)
        self.assertEqual(["a", "b"], [rule.name for rule in declared.rules])
        self.assertEqual([2.0, 2.0], [r.policy.timeout for r in declared.rules])
        self.assertFalse(declared.rules[0].policy.idempotent)
        self.assertEqual(
            ("10.ini", 3), (declared.rules[0].file, declared.rules[0].line)
        )
        self.assertEqual(
            [20, 10], [each.slots for each in declared.services[0].endpoints]
        )

    def test_every_problem_is_reported_at_once_with_its_place(self):
        text = (
            rule_text("a", "colour red", "route", "attempts = two", "retries = 2")
            + "[rule b]\nthen = refuse 403 closed\n[upstream c]\n"
            + "[service s]\ntarget t = vm=v zone=z\ntarget u = vm\n"
        )
        files = {
            "a.ini": text,
            "b.ini": rule_text("a", "always", "refuse") + "[rule a/b]\n",
        }
        error = self.assertRaises(DeclarationsError, parse_declarations, files)
        self.assertEqual(
            {
                ("a.ini", 2, "when"),
                ("a.ini", 3, "then"),
                ("a.ini", 4, "attempts"),
                ("a.ini", 5, "retries"),
                ("a.ini", 6, "when"),
                ("a.ini", 8, ""),
                ("a.ini", 10, "target t"),
                ("a.ini", 11, "target u"),
                ("b.ini", 1, ""),
                ("b.ini", 4, ""),
                ("b.ini", 4, "when"),
                ("b.ini", 4, "then"),
            },
            {(each.file, each.line, each.key) for each in error.problems},
        )

    def test_quotes_keep_separators_within_a_value(self):
        text = rule_text("a", 'header x-a = "b, c; d", e\n  query q present', "refuse")
        conditions = parse_declarations({"a": text}).rules[0].when
        self.assertEqual(("b, c; d", "e"), conditions[0].values)
        self.assertEqual("q", conditions[1].name)

    @PROPERTY
    @given(rule_lists())
    def test_formatted_rules_parse_back_unchanged(self, rules):
        text = "".join(
            rule_text(
                rule.name,
                describe_conditions(rule.when),
                describe_action(rule.then),
                f"timeout = {rule.policy.timeout}",
                f"attempts = {rule.policy.attempts}",
                f"idempotent = {'yes' if rule.policy.idempotent else 'no'}",
                f"priority = {rule.policy.priority.value}",
                f"caller = {rule.policy.caller_header}",
            )
            for rule in rules
        )
        read = parse_declarations({"a": text}).rules
        plain = tuple(dataclasses.replace(rule, file="", line=0) for rule in read)
        self.assertEqual(rules, plain)


class MatcherTests(TestCase):
    @PROPERTY
    @given(rule_lists(), st.lists(REQUESTS, min_size=1, max_size=8))
    def test_matcher_decides_as_a_plain_loop_does(self, rules, requests):
        matcher = compile_rules(rules)
        for request in requests:
            wanted = naive_index(rules, request)
            explanation = matcher.explain(request)
            self.assertEqual(wanted, explanation.decision.index)
            earlier = rules if wanted < 0 else rules[:wanted]
            self.assertEqual(
                earlier, tuple(each.rule for each in explanation.mismatches)
            )
            for each in explanation.mismatches:
                self.assertFalse(matches(each.condition, request))

    def test_prefixes_match_whole_segments(self):
        rules = parse_declarations(
            {"a": rule_text("a", "path prefix /billing/", "refuse")}
        ).rules
        matcher = compile_rules(rules)
        for path, index in (
            ("/billing", 0),
            ("/billing/", 0),
            ("/billing/7/fuel", 0),
            ("/billings", -1),
            ("/", -1),
        ):
            self.assertEqual(index, matcher.decide(RequestHead("GET", path)).index)


class RequestTests(TestCase):
    """A caller spells a path differently to bypass a rule.

    Without normalization, `//regia/./admin` would not match a rule that refuses
    `/regia/admin`, but the upstream would treat both as the same path.
    """

    def test_equivalent_paths_normalize_to_one_path(self):
        for path in ("//a/b", "/a/./b", "/x/../a/b", "/%61/b", "/../a/b", "/a//b"):
            self.assertEqual("/a/b", normalize_path(path))
        self.assertEqual("/a%2Fb/", normalize_path("/a%2fb/."))

    def test_the_first_of_repeated_fields_is_used(self):
        head = make_request_head(
            "post", "/a?k=1&k=2&l", "h", [("X-A", "1"), ("x-a", "2")], "z"
        )
        wanted = RequestHead("POST", "/a", "h", {"x-a": "1"}, {"k": "1", "l": ""}, "z")
        self.assertEqual(wanted, head)


class ValidateTests(TestCase):
    def test_a_valid_version_has_no_problem(self):
        text = rule_text("a", "path prefix /fleet", "route fleet 9 sticky x-m")
        self.assertEqual([], problems_of(text + SERVICES))

    def test_each_error_is_named_with_file_and_line(self):
        nothing = "[service empty]\n"
        for body, line, message in (
            (rule_text("a", "always", "route booking"), 3, "unknown service booking"),
            (rule_text("a", "always", "route empty"), 3, "has no endpoint"),
            (rule_text("a", "always", "route fleet 0"), 3, "add up to 0"),
            (rule_text("a", "always", "route fleet, fleet"), 3, "appears 2 times"),
            (rule_text("a", "always", "redirect 200 /a"), 3, "bad redirect status"),
            (rule_text("a", "always", "redirect ftp://a/"), 3, "bad location"),
            (rule_text("a", "always", "refuse 200 ok"), 3, "bad refusal status"),
            (rule_text("a", "always", "refuse 403 No!"), 3, "bad reason"),
            (rule_text("a", "path exact a", "refuse"), 2, "must begin with /"),
            (rule_text("a", "path segments /a*", "refuse"), 2, "neither plain nor"),
            (rule_text("a", "header x:y = 1", "refuse"), 2, "bad header name"),
            (rule_text("a", "always", "refuse", "timeout = nan"), 4, "found nan"),
            (rule_text("a", "always", "refuse", "attempts = 0"), 4, "1 to 10"),
            (
                "[service x]\ntarget t = vm=v zone=z address=h.example mesh_port=0\n",
                2,
                "bad address",
            ),
            (
                "[service x]\ntarget fleet-1 = vm=v zone=z address=10.0.0.9 "
                "mesh_port=1\n",
                10,
                "duplicate target",
            ),
        ):
            text = body + SERVICES + nothing
            found = problems_of(text)
            wanted = [
                each for each in found if message in each.message and not each.warning
            ]
            self.assertEqual(1, len(wanted), f"{message}: {found}")
            if "duplicate" not in message:
                self.assertEqual(line, wanted[0].line, message)

    def test_a_retry_that_no_key_allows_is_a_warning(self):
        lines = ("idempotent = no", "attempts = 2")
        found = problems_of(
            rule_text("a", "method POST", "route fleet", *lines) + SERVICES
        )
        self.assertEqual([("attempts", True)], [(p.key, p.warning) for p in found])
        keyed = rule_text("a", "header idempotency-key present", "route fleet", *lines)
        self.assertEqual([], problems_of(keyed + SERVICES))

    def test_a_version_of_too_many_rules_or_methods_is_an_error(self):
        rules = tuple(Rule(f"r{number}", (), Refuse()) for number in range(5001))
        self.assertEqual(1, len(validate(rules, ())))
        methods = tuple(f"M{number}" for number in range(17))
        condition = Condition(Field.METHOD, Comparison.EXACT, methods)
        self.assertEqual(1, len(validate((Rule("r", (condition,), Refuse()),), ())))

    def test_a_version_without_rules_is_a_warning(self):
        self.assertEqual([True], [each.warning for each in problems_of(SERVICES)])

    def test_duplicate_names_in_published_data_are_errors(self):
        rule = Rule("a", (), Refuse())
        endpoint = Endpoint("t", "v", "z", "10.0.0.1", 1)
        service = Service("s", (endpoint, endpoint))
        found = [each.message for each in validate((rule, rule), (service,))]
        self.assertEqual(4, len([each for each in found if "duplicate" in each]))


TEXT = st.one_of(
    st.text(max_size=6),
    st.sampled_from(["\ud800", "a\r\nb", "/", "a" * 5000, "10.0.0.1%\n"]),
)
INTEGERS = st.one_of(st.integers(), st.just(10**400), st.just(-(10**400)))
ANY_RULES = st.builds(
    Rule,
    TEXT,
    st.lists(
        st.builds(
            Condition,
            st.sampled_from(list(Field)),
            st.sampled_from(list(Comparison)),
            st.lists(TEXT, max_size=3).map(tuple),
            TEXT,
        ),
        max_size=3,
    ).map(tuple),
    st.one_of(
        st.builds(
            RouteTo,
            st.lists(st.builds(WeightedService, TEXT, INTEGERS), max_size=2).map(tuple),
            TEXT,
        ),
        st.builds(Redirect, TEXT, INTEGERS),
        st.builds(Refuse, INTEGERS, TEXT),
    ),
    st.builds(CallPolicy, st.floats(), INTEGERS, caller_header=TEXT),
)
ANY_SERVICES = st.builds(
    Service,
    TEXT,
    st.lists(
        st.builds(Endpoint, TEXT, TEXT, TEXT, TEXT, INTEGERS, INTEGERS, INTEGERS),
        max_size=3,
    ).map(tuple),
)


class InvalidValuesTests(TestCase):
    """A published version decodes but contains invalid values.

    If validation raised an exception, the node would keep the old version without
    recording a reason that operators could see.
    """

    @PROPERTY
    @given(
        st.lists(ANY_RULES, max_size=3),
        st.lists(ANY_SERVICES, max_size=3),
        st.lists(REQUESTS, min_size=1, max_size=2),
    )
    def test_any_decoded_data_is_validated_and_matched(self, rules, services, requests):
        for problem in validate(rules, services):
            str(problem).encode()
        matcher = compile_rules(tuple(rules))
        for request in requests:
            self.assertEqual(naive_index(rules, request), matcher.decide(request).index)


class ReachTests(TestCase):
    def test_a_rule_covered_by_an_earlier_one_is_reported(self):
        text = (
            rule_text("a", "path prefix /a", "refuse")
            + rule_text("b", "method GET; path segments /a/{id}", "refuse")
            + rule_text("c", "path exact /b", "refuse")
            + rule_text("d", "always", "refuse")
            + rule_text("e", "zone akaki", "refuse")
        )
        found = [each for each in problems_of(text) if "reached" in each.message]
        self.assertEqual(
            [(4, "rule b"), (13, "rule e")], [(p.line, p.section) for p in found]
        )

    @PROPERTY
    @given(rule_lists(max_size=5), st.lists(REQUESTS, min_size=3, max_size=8))
    def test_a_covered_rule_never_decides(self, rules, requests):
        matcher = compile_rules(rules)
        covered = {
            later.name
            for position, later in enumerate(rules)
            for earlier in rules[:position]
            if covers(earlier, later)
        }
        for request in requests:
            rule = matcher.decide(request).rule
            self.assertNotIn(rule.name if rule else "", covered)


class DiffTests(TestCase):
    def test_every_kind_of_difference_is_named(self):
        old = (
            rule_text("a", "path exact /a", "refuse")
            + rule_text("b", "path exact /b", "refuse")
            + rule_text("c", "path exact /c", "route fleet")
            + rule_text("gone", "always", "refuse")
        )
        new = (
            rule_text("new", "path exact /n", "refuse")
            + rule_text("c", "path exact /c", "route fleet", "timeout = 3")
            + rule_text("a", "path exact /a", "refuse")
            + rule_text("b", "path exact /b", "refuse")
        )
        moved = SERVICES.replace("10.0.0.2", "10.0.0.3").replace("fleet-1", "fleet-3")
        changes = compare(
            parse_declarations({"a": old + SERVICES}),
            parse_declarations({"a": new + moved}),
        )
        self.assertEqual(
            [
                "removed rule gone",
                "added rule new: path exact /n -> refuse 403 refused-by-rule",
                "moved rule c: from 3 to 2",
                "changed rule c: timeout: 10 -> 3",
                "removed target fleet-1 of fleet",
                "added target fleet-3 of fleet: akaki 10.0.0.1:8081",
                "changed target fleet-2 of fleet: address: 10.0.0.2 -> 10.0.0.3",
            ],
            [str(change) for change in changes],
        )
