"""Guards against nodes that do not connect, stop late or fail with a faulty peer."""

import asyncio
import contextlib
import random
import shutil
import socket
import subprocess

import grpc
import pytest

from waxwingbarrow.core import DataCentre, HostId, Incarnation, SystemClock, Zone
from waxwingbarrow.membership import (
    Batch,
    DetectorSettings,
    FailureDetector,
    GossipMap,
    Liveness,
    Member,
    MemberStatus,
)
from waxwingbarrow.peers import (
    EXCHANGE_METHOD,
    ControlCallbacks,
    ControlEntries,
    ControlEntry,
    ControlSnapshot,
    Frame,
    Hello,
    PeerListenError,
    PeerNode,
    PeerSettings,
    TlsSettings,
    encode_frame,
    open_channel,
)


def free_address():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


class Host:
    """A node on loopback with a control store and shorter intervals than by default."""

    def __init__(self, name, address=None, seeds=(), started=1, centre="d", **settings):
        self.address = address or free_address()
        run = Incarnation(started, 0)
        self.entries = []
        self.first_offset = 0
        self.map = GossipMap(HostId(name), run)
        self.detector = FailureDetector(
            HostId(name),
            run,
            DetectorSettings(
                suspect_after_ms=500, dead_after_ms=1_000, max_beat_gap_ms=500
            ),
        )
        self.member = Member(
            HostId(name), run, DataCentre(centre), Zone("z"), self.address, ""
        )
        self.settings = PeerSettings(
            self.address,
            tuple(seeds),
            **{
                "gossip_interval_ms": 100,
                "peer_selection_interval_ms": 100,
                "silence_timeout_ms": 1_000,
                "reconnect_min_ms": 20,
                "reconnect_max_ms": 200,
                **settings,
            },
        )
        self.clock = SystemClock()
        self.node = PeerNode(
            self.settings,
            self.member,
            self.map,
            self.detector,
            self.clock,
            ControlCallbacks(
                next_offset=lambda: len(self.entries),
                read_entries=self.read_entries,
                on_entries=self.entries.extend,
                on_snapshot=self.restore,
            ),
            random.Random(1),
        )

    def read_entries(self, start):
        if start < self.first_offset:
            return ControlSnapshot(len(self.entries), b"s")
        return ControlEntries(tuple(self.entries[start:]))

    def restore(self, next_offset, payload):
        self.entries = [ControlEntry(i, payload) for i in range(next_offset)]

    def live(self):
        now = self.clock.now()
        return "".join(sorted(m.host_id for m in self.node.roster.list_live(now)))

    def put(self, topic, payload, **options):
        self.map.put_local(topic, payload, self.clock.now(), **options)


@contextlib.asynccontextmanager
async def running(*hosts):
    tasks = [asyncio.create_task(host.node.run()) for host in hosts]
    try:
        yield tasks
    finally:
        for host in hosts:
            host.node.stop()
        await asyncio.wait_for(asyncio.gather(*tasks), 10)


async def wait_until(condition, timeout_s=8.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def three_hosts(**settings):
    a = Host("a", **settings)
    return a, *(Host(name, seeds=[a.address], **settings) for name in "bc")


async def test_hosts_with_a_common_seed_discover_each_other():
    hosts = three_hosts()
    assert not hosts[0].node.has_peers
    async with running(*hosts):
        await wait_until(lambda: all(host.live() == "abc" for host in hosts))
        await wait_until(lambda: all(len(h.node.list_peers()) == 2 for h in hosts))
        hosts[0].put("demand", b"7")
        await wait_until(lambda: hosts[2].map.find(HostId("a"), "demand"))


async def test_two_hosts_keep_one_stream_between_them():
    a, b = Host("a"), None
    b = Host("b", seeds=[a.address])
    async with running(a, b):
        await wait_until(lambda: a.live() == b.live() == "ab")
        await asyncio.sleep(0.5)
        frames = a.node.counters.frames_sent
        await asyncio.sleep(1.0)
        # Each side sends about 10 frames per second on one stream, 20 on two.
        assert a.node.counters.frames_sent - frames <= 12
        assert a.node.has_peers
        assert b.node.has_peers


async def test_host_without_a_reachable_peer_reports_no_peers():
    alone = Host("a", seeds=[free_address()])
    async with running(alone):
        await asyncio.sleep(0.3)
        assert not alone.node.has_peers


async def test_seed_that_is_the_host_itself_does_not_count_as_a_peer():
    address = free_address()
    other_name = address.replace("127.0.0.1", "localhost")
    alone = Host("a", address, seeds=[address, other_name])
    async with running(alone):
        await asyncio.sleep(0.3)
        assert not alone.node.has_peers


async def test_lagging_host_catches_up_with_entries():
    hosts = three_hosts(max_entries_bytes=1_000)
    hosts[0].entries = [ControlEntry(i, b"x" * 300) for i in range(20)]
    async with running(*hosts):
        await wait_until(
            lambda: all(host.entries == hosts[0].entries for host in hosts)
        )


async def test_lagging_host_catches_up_with_a_snapshot():
    a = Host("a")
    b = Host("b", seeds=[a.address])
    a.entries = [ControlEntry(i, b"s") for i in range(9)]
    a.first_offset = 8
    async with running(a, b):
        await wait_until(lambda: b.entries == a.entries)


async def test_urgent_updates_do_not_wait_for_the_gossip_interval():
    a = Host("a")
    hosts = (a, *(Host(name, seeds=[a.address]) for name in "bc"))
    async with running(*hosts):
        await wait_until(lambda: all(len(h.node.list_peers()) == 2 for h in hosts))
        for host in hosts:
            object.__setattr__(host.settings, "gossip_interval_ms", 60_000)
            object.__setattr__(host.settings, "silence_timeout_ms", 120_000)
        await asyncio.sleep(0.3)
        a.put("withdrawals", b"v2", urgent=True)
        a.entries.append(ControlEntry(0, b"{}"))
        a.node.broadcast_now()
        await wait_until(
            lambda: all(
                h.map.find(HostId("a"), "withdrawals") and h.entries for h in hosts
            ),
            timeout_s=2.0,
        )


async def test_host_restarted_at_its_address_replaces_its_earlier_incarnation():
    a, b, c = three_hosts()
    async with running(a, b):
        async with running(c):
            c.put("old", b"1")
            await wait_until(lambda: a.map.find(HostId("c"), "old"))
        new = Host("c", c.address, seeds=[a.address], started=2)
        async with running(new):
            await wait_until(lambda: a.live() == b.live() == new.live() == "abc")
            await wait_until(lambda: a.map.find(HostId("c"), "old") is None)


async def test_new_host_at_the_address_of_a_departed_one_replaces_it():
    a, b, c = three_hosts()
    async with running(a, b):
        async with running(c):
            await wait_until(lambda: a.live() == "abc")
        new = Host("e", c.address, seeds=[a.address], started=2)
        async with running(new):
            await wait_until(lambda: a.live() == b.live() == new.live() == "abe")


async def test_silently_killed_host_is_declared_dead():
    a, b, c = three_hosts()
    async with running(a, b):
        async with running(c) as tasks:
            await wait_until(lambda: all(h.live() == "abc" for h in (a, b, c)))
            tasks[0].cancel()
            await asyncio.wait(tasks)
            tasks.clear()
        # A cancelled task does not announce a departure.
        entry = a.map.find(HostId("c"), "member")
        assert b'"alive"' in entry.item.payload
        await wait_until(lambda: a.live() == b.live() == "ab")
        dead = a.detector.status(HostId("c"), a.clock.now())
        assert dead == Liveness.DEAD


async def test_stopping_host_announces_its_departure_at_once():
    a, b, c = three_hosts()
    async with running(a, b), running(c):
        await wait_until(lambda: all(h.live() == "abc" for h in (a, b, c)))
        c.node.set_status(MemberStatus.DRAINING)
        await wait_until(
            lambda: b"draining" in a.map.find(HostId("c"), "member").item.payload
        )
        c.node.stop()
        # Shorter than `dead_after_ms`, so that silence alone cannot explain it.
        await wait_until(lambda: a.live() == b.live() == "ab", timeout_s=0.9)


async def read_to_end(call):
    while await call.read() is not grpc.aio.EOF:
        pass


@pytest.mark.parametrize(
    "frames",
    [
        [b"\xff\xff\xff"],
        [encode_frame(Frame(0, batch=Batch()))],
        ["hello", b"\xff\xff\xff"],
        ["hello", encode_frame(Frame(0, batch=Batch(positions=(9,), steps=(1,))))],
        ["hello", b"\x00" * 20_000],
    ],
    ids=["garbage", "no-hello", "garbage-later", "bad-position", "too-large"],
)
async def test_malformed_frame_ends_only_its_own_stream(frames):
    a = Host("a", max_frame_bytes=10_000)
    b = Host("b", seeds=[a.address], max_frame_bytes=10_000)
    stranger = Host("x", max_frame_bytes=100_000)
    hello = encode_frame(Frame(0, hello=Hello(stranger.member, {})))
    async with running(a, b):
        await wait_until(lambda: a.live() == b.live() == "ab")
        await asyncio.sleep(0.3)
        opened = b.node.counters.streams_opened
        async with open_channel(stranger.settings, a.address) as channel:
            call = channel.stream_stream(EXCHANGE_METHOD)()
            for frame in frames:
                await call.write(hello if frame == "hello" else frame)
            async with asyncio.timeout(5):
                with pytest.raises(grpc.aio.AioRpcError) as raised:
                    await read_to_end(call)
                code = raised.value.code()
        assert code in {
            grpc.StatusCode.INVALID_ARGUMENT,
            grpc.StatusCode.RESOURCE_EXHAUSTED,
        }
        a.put("later", b"1")
        await wait_until(lambda: b.map.find(HostId("a"), "later"))
        assert b.node.counters.streams_opened == opened


async def test_listen_address_in_use_raises_listen_error():
    a = Host("a")
    async with running(a):
        await wait_until(lambda: a.node._server is not None)
        with pytest.raises(PeerListenError):
            await Host("b", a.address).node.run()


def make_certificates(folder):
    """Make a CA and one key pair that it signs, with the openssl command."""

    def openssl(*arguments):
        subprocess.run(
            ["openssl", *arguments], cwd=folder, check=True, capture_output=True
        )

    curve = ("-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes")
    openssl(
        *("req", "-x509", *curve, "-keyout", "ca.key", "-out", "ca.pem"),
        *("-subj", "/CN=authority", "-days", "2"),
    )
    openssl("req", *curve, "-keyout", "k.pem", "-out", "k.csr", "-subj", "/CN=peer")
    (folder / "names").write_text("subjectAltName=DNS:peer,IP:127.0.0.1")
    openssl(
        *("x509", "-req", "-in", "k.csr", "-CA", "ca.pem", "-CAkey", "ca.key"),
        *("-CAcreateserial", "-out", "c.pem", "-days", "2", "-extfile", "names"),
    )
    return tuple((folder / name).read_bytes() for name in ("c.pem", "k.pem", "ca.pem"))


needs_openssl = pytest.mark.skipif(
    shutil.which("openssl") is None, reason="The openssl command is not installed."
)


@needs_openssl
@pytest.mark.parametrize("peer_name", [None, "peer"])
async def test_hosts_with_certificates_of_one_ca_connect(tmp_path, peer_name):
    tls = TlsSettings(*make_certificates(tmp_path), peer_name)
    hosts = three_hosts(tls=tls)
    async with running(*hosts):
        await wait_until(lambda: all(host.live() == "abc" for host in hosts))


@needs_openssl
async def test_host_without_a_certificate_of_the_ca_is_refused(tmp_path):
    folders = [tmp_path / name for name in ("one", "two")]
    for folder in folders:
        folder.mkdir()
    own, foreign = (TlsSettings(*make_certificates(folder)) for folder in folders)
    mixed = TlsSettings(foreign.certificate, foreign.private_key, own.authority)
    a = Host("a", tls=own)
    strangers = [
        Host("b", seeds=[a.address]),
        Host("c", seeds=[a.address], tls=foreign),
        Host("e", seeds=[a.address], tls=mixed),
    ]
    async with running(a, *strangers):
        await asyncio.sleep(1.0)
        assert not a.node.has_peers
        assert not any(stranger.node.has_peers for stranger in strangers)


def test_tls_keys_are_not_in_the_repr():
    assert "secret" not in repr(TlsSettings(b"secret", b"secret", b"secret"))
