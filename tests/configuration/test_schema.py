"""Tests of pearwell.configuration.schema and pearwell.configuration.validation."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearwell.configuration.schema import decode_spec, encode_spec
from pearwell.configuration.validation import check_group, check_group_unused
from pearwell.errors import Code, ConfigurationError
from pearwell.model.configuration import Kind
from pearwell.model.group import MAX_WEIGHT, GroupSpec, TargetIntent, TargetSpec
from pearwell.model.service import FlowLimits, Preference, ServiceSpec, TransportProtocol

TARGET = {"name": "t1", "address": "10.0.0.1", "zone": "pnw-a"}
SERVICE = {"name": "s", "address": "10.1.0.1", "port": 443, "protocol": "tcp", "group": "g"}

names = st.from_regex(r"\A[a-z0-9]([-a-z0-9]{0,8}[a-z0-9])?\Z")
addresses = st.ip_addresses().filter(lambda a: not a.is_multicast and not a.is_unspecified).map(str)
ports = st.integers(1, 65535)
targets = st.builds(
    TargetSpec,
    names,
    addresses,
    names,
    ports,
    st.integers(1, MAX_WEIGHT),
    st.integers(0, 9),
    st.sampled_from(TargetIntent),
    st.floats(0, 1e5),
)
groups = st.builds(GroupSpec, names, st.lists(targets, max_size=3).map(tuple))
services = st.builds(
    ServiceSpec,
    names,
    addresses,
    ports,
    st.sampled_from(TransportProtocol),
    names,
    st.floats(0.1, 1e5),
    st.floats(0, 10),
    st.sampled_from(Preference),
    st.builds(FlowLimits, st.integers(0, 10)),
    st.lists(names, max_size=2).map(tuple),
)


@given(spec=st.one_of(groups, services))
@settings(derandomize=True, max_examples=100, deadline=None)
def test_specs_are_unchanged_after_encoding_and_decoding(spec):
    kind = Kind.GROUP if isinstance(spec, GroupSpec) else Kind.SERVICE
    assert decode_spec(kind, json.loads(json.dumps(encode_spec(kind, spec)))) == spec


@pytest.mark.parametrize(
    ("kind", "document", "code", "field"),
    [
        (Kind.SERVICE, {**SERVICE, "name": "Intake"}, Code.CONFIG_BAD_NAME, "name"),
        (Kind.SERVICE, {**SERVICE, "name": "a" * 64}, Code.CONFIG_BAD_NAME, "name"),
        (Kind.SERVICE, {**SERVICE, "group": "-"}, Code.CONFIG_INVALID, "group"),
        (Kind.SERVICE, {**SERVICE, "port": 0}, Code.CONFIG_INVALID, "port"),
        (Kind.SERVICE, {**SERVICE, "protocol": "sctp"}, Code.CONFIG_INVALID, "protocol"),
        (Kind.SERVICE, {**SERVICE, "address": "10.1"}, Code.CONFIG_INVALID, "address"),
        (Kind.SERVICE, {**SERVICE, "address": "224.0.0.1"}, Code.CONFIG_INVALID, "address"),
        (Kind.SERVICE, {**SERVICE, "idle_timeout_s": 0}, Code.CONFIG_INVALID, "idle_timeout_s"),
        (Kind.SERVICE, {}, Code.CONFIG_BAD_NAME, "name"),
        (Kind.SERVICE, None, Code.CONFIG_INVALID, "service"),
        (
            Kind.GROUP,
            {"name": "g", "targets": [TARGET, {**TARGET, "weight": 0}]},
            Code.CONFIG_WEIGHT_RANGE,
            "targets.1.weight",
        ),
        (
            Kind.GROUP,
            {"name": "g", "targets": [{**TARGET, "weight": 1001}]},
            Code.CONFIG_WEIGHT_RANGE,
            "targets.0.weight",
        ),
    ],
)
def test_an_invalid_field_has_a_code_and_is_named(kind, document, code, field):
    with pytest.raises(ConfigurationError) as refused:
        decode_spec(kind, document)
    assert refused.value.code is code
    assert field in refused.value.detail


@pytest.mark.parametrize(
    ("others", "code"),
    [
        (None, Code.CONFIG_EMPTY_GROUP),
        ([{**TARGET, "address": "10.0.0.2"}], Code.CONFIG_TARGET_OVERLAP),
        ([{**TARGET, "name": "t2"}], Code.CONFIG_TARGET_OVERLAP),
        ([{**TARGET, "name": "t2", "port": 7000}], None),
    ],
)
def test_targets_of_a_group_are_checked(others, code):
    members = [] if others is None else [TARGET, *others]
    group = decode_spec(Kind.GROUP, {"name": "g", "targets": members})
    if code is None:
        check_group(group)
        return
    with pytest.raises(ConfigurationError) as refused:
        check_group(group)
    assert refused.value.code is code


def test_a_group_in_use_is_named_with_its_services():
    users = [decode_spec(Kind.SERVICE, SERVICE)]
    check_group_unused("unused", users)
    with pytest.raises(ConfigurationError, match="309 CONFIG_GROUP_IN_USE: group g is used by s"):
        check_group_unused("g", users)
