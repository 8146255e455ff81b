"""Tests of the peers, membership and gossip services and of TLS over real sockets."""

import asyncio

import grpc
import pytest

from pearwell.errors import Code, SettingsError
from pearwell.messages import Entry, EntryAdopted, EntryVersion, Ping, Push, ViewRenewed, encode
from pearwell.model.membership import Member
from pearwell.tls import TlsCredentials
from pearwell.v1 import peer_pb2, peer_pb2_grpc
from tests.certificates import Authority
from tests.grpc_instances import LOOPBACK_PREFIX, Instance, make_settings, wait_until

ENTRY = Entry("config/service/intake", EntryVersion(3), b"payload")


async def start_instances(*numbers, octet, tls=lambda name: None):
    instances = [
        Instance(make_settings(number, octet=octet, tls=tls(f"i{number}"))) for number in numbers
    ]
    for instance in instances:
        await instance.kernel.start()
    return instances


async def stop_instances(*instances):
    for instance in instances:
        await instance.kernel.stop()


async def deliver(endpoint, sender, *payloads, credentials=None, name=""):
    """Sends one batch over a separate channel and returns its status code."""
    options = [("grpc.ssl_target_name_override", name)] if name else []
    if credentials:
        channel = grpc.aio.secure_channel(endpoint, credentials, options)
    else:
        channel = grpc.aio.insecure_channel(endpoint)
    async with channel:
        call = peer_pb2_grpc.PeerServiceStub(channel).Deliver(timeout=3.0)
        try:
            await call.write(peer_pb2.Batch(sender=sender, messages=payloads))
            await call.done_writing()
        except (grpc.RpcError, asyncio.InvalidStateError):
            pass
        return await call.code()


async def test_instances_join_share_entries_and_renew_their_views():
    instances = await start_instances(1, 2, 3, octet=1)
    try:
        await wait_until(lambda: all(i.members == ["i1", "i2", "i3"] for i in instances))
        instances[2].gossip.gossip.put(ENTRY)
        await wait_until(lambda: all(EntryAdopted(ENTRY) in i.recorder.messages for i in instances))
        holders = instances[0].gossip.gossip.holders
        await wait_until(lambda: len(holders(ENTRY.key)) == 3)
        for instance in instances:
            await wait_until(
                lambda messages=instance.recorder.messages: any(
                    isinstance(message, ViewRenewed) for message in messages
                )
            )
        await instances[2].kernel.stop()
        await wait_until(lambda: all(i.members == ["i1", "i2"] for i in instances[:2]))
    finally:
        await stop_instances(*instances)


async def test_links_reconnect_to_a_restarted_peer():
    first, second = await start_instances(1, 2, octet=2)
    try:
        await wait_until(lambda: len(first.members) == 2)
        await second.kernel.stop()
        (second,) = await start_instances(2, octet=2)
        await wait_until(lambda: len(second.members) == 2)
        first.gossip.gossip.put(ENTRY)
        await wait_until(lambda: second.gossip.gossip.get(ENTRY.key) == ENTRY)
    finally:
        await stop_instances(first, second)


@pytest.mark.parametrize(
    ("payload", "code"),
    [
        (encode(Push((ENTRY,))), Code.PEER_UNKNOWN),
        (b"\xc1 not a message", Code.PEER_BAD_MESSAGE),
        (b"", Code.PEER_BAD_MESSAGE),
    ],
)
async def test_messages_from_non_members_and_malformed_ones_are_dropped(payload, code):
    (instance,) = await start_instances(1, octet=3)
    try:
        await deliver(f"{LOOPBACK_PREFIX}.3.1:20502", "non-member", payload)
        assert instance.peers.dropped[code] == 1
        assert instance.gossip.gossip.get(ENTRY.key) is None
    finally:
        await stop_instances(instance)


async def test_messages_to_unknown_or_unreachable_instances_are_counted():
    (instance,) = await start_instances(1, octet=4)
    try:
        instance.peers.send("nobody", Ping(1))
        assert instance.peers.dropped[Code.PEER_UNKNOWN] == 1
        instance.peers.set_address(Member("i9", f"{LOOPBACK_PREFIX}.4.9", 1, 20599))
        for number in range(600):
            instance.peers.send("i9", Ping(number))
        assert instance.peers.dropped[Code.PEER_QUEUE_FULL] == 600 - 512
        await wait_until(lambda: instance.peers.dropped[Code.PEER_UNREACHABLE] == 512)
    finally:
        await stop_instances(instance)


async def test_port_in_use_raises_settings_error():
    (instance,) = await start_instances(1, octet=5)
    try:
        with pytest.raises(SettingsError) as caught:
            await Instance(make_settings(1, octet=5)).kernel.start()
        assert caught.value.code is Code.SETTINGS_PORT_IN_USE
    finally:
        await stop_instances(instance)


async def test_mutual_tls_accepts_only_certified_instances(tmp_path):
    authority, other = Authority(tmp_path), Authority(tmp_path)
    instances = await start_instances(1, 2, octet=6, tls=authority.issue)
    try:
        await wait_until(lambda: all(len(i.members) == 2 for i in instances))
        target = instances[0]
        endpoint, payload = f"{LOOPBACK_PREFIX}.6.1:20502", encode(Push((ENTRY,)))
        foreign = TlsCredentials(other.issue("i2"))
        assert await deliver(endpoint, "i2", payload) is grpc.StatusCode.UNAVAILABLE
        status = await deliver(
            endpoint, "i2", payload, credentials=foreign.channel_credentials(), name="i1"
        )
        assert status is grpc.StatusCode.UNAVAILABLE
        named = TlsCredentials(authority.issue("i7"))
        status = await deliver(
            endpoint, "i2", payload, credentials=named.channel_credentials(), name="i1"
        )
        assert status is grpc.StatusCode.UNAUTHENTICATED
        assert target.peers.dropped[Code.PEER_UNAUTHENTICATED] == 1
        assert target.gossip.gossip.get(ENTRY.key) is None
    finally:
        await stop_instances(*instances)


async def test_renewed_certificates_are_used_without_closing_streams(tmp_path):
    authority = Authority(tmp_path)
    first, second = await start_instances(1, 2, octet=7, tls=authority.issue)
    try:
        await wait_until(lambda: len(first.members) == len(second.members) == 2)
        unreachable = first.peers.dropped[Code.PEER_UNREACHABLE]
        old = first.peers._tls.material
        authority.issue("i1")
        (third,) = await start_instances(3, octet=7, tls=authority.issue)
        await wait_until(lambda: len(third.members) == len(second.members) == 3)
        assert first.peers._tls.material != old
        assert first.peers.dropped[Code.PEER_UNREACHABLE] == unreachable
        await third.kernel.stop()
    finally:
        await stop_instances(first, second)


@pytest.mark.parametrize(
    ("break_settings", "code"),
    [
        (lambda s: s.model_copy(update={"key": s.key + ".gone"}), Code.SETTINGS_UNREADABLE),
        (lambda s: s.model_copy(update={"key": s.certificate}), Code.SETTINGS_INVALID_VALUE),
    ],
)
def test_unusable_tls_files_are_rejected_at_start_and_ignored_on_reload(
    tmp_path, break_settings, code
):
    authority = Authority(tmp_path)
    settings = authority.issue("i1")
    with pytest.raises(SettingsError) as caught:
        TlsCredentials(break_settings(settings))
    assert caught.value.code is code
    credentials = TlsCredentials(settings)
    material = credentials.material
    (tmp_path / "i1.key").write_text("half written")
    assert not credentials.reload()
    assert credentials.material == material
    authority.issue("i1")
    assert credentials.reload()
    assert credentials.material != material
