"""Replicas fetched from peers that know more."""

import asyncio
import logging
import zlib
from collections.abc import Callable, Mapping
from urllib.parse import parse_qsl, urlencode

import msgspec

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway._channels import ChannelError, ChannelPool
from waxwingbarrow.gateway._ports import KeyedPage, KeyedRecord
from waxwingbarrow.gateway._replica import Replica

logger = logging.getLogger("waxwingbarrow.gateway.peers")

# A host that knows less than a peer for this long asks the peer; the store's answer to
# a waiting read is normally on its way.
BEHIND_MS = 150
FETCH_TIMEOUT_S = 1.0
# Differences that disappear within two messages are reads that have just ended.
FLEET_BEHIND_MS = 500
# Many times the registrations and the configuration of the largest deployment.
MAX_LISTING_BYTES = 16 * 1024 * 1024

Listing = dict[str, tuple[int, list[tuple[int, str, bytes]]]]


def encode_listing(replicas: Mapping[str, Replica], known: Mapping[str, int]) -> bytes:
    """Serialize replicas for a peer, without those of which it knows as much.

    All hosts of a data centre ask one relay, whose link may be small, so the listing
    is compressed: names of fields repeat in each record.

    Parameters
    ----------
    known : mapping
        Offset up to which the peer knows each topic.
    """
    listing: Listing = {}
    for topic, replica in replicas.items():
        if replica.is_loaded and replica.end > known.get(topic, -1):
            page = replica.make_listing()
            records = [(r.offset, r.key, r.value) for r in page.records]
            listing[topic] = (page.end, records)
    return zlib.compress(msgspec.msgpack.encode(listing), 1)


def decode_listing(data: bytes) -> dict[str, KeyedPage]:
    """Read a peer's replicas.

    Raises
    ------
    zlib.error, msgspec.DecodeError
        The bytes are no listing.
    """
    expanded = zlib.decompressobj().decompress(data, MAX_LISTING_BYTES)
    listing = msgspec.msgpack.decode(expanded, type=Listing)
    return {
        topic: KeyedPage(tuple(KeyedRecord(*record) for record in records), end)
        for topic, (end, records) in listing.items()
    }


def encode_known(replicas: Mapping[str, Replica]) -> bytes:
    """Return the query that tells a peer what this host knows."""
    known = {
        topic: replica.end for topic, replica in replicas.items() if replica.is_loaded
    }
    return urlencode(known).encode()


def decode_known(query: bytes) -> dict[str, int]:
    """Read the query of a fetch; what is not a number counts as not known.

    Examples
    --------
    >>> decode_known(b"operator=3&upstreams=x")
    {'operator': 3}
    """
    pairs = parse_qsl(query.decode("latin-1"))
    return {topic: int(end) for topic, end in pairs if end.isdecimal()}


class ReplicaFetcher:
    """Fetches replicas when a peer has known more for a while.

    Parameters
    ----------
    take_listing : callable
        Applies the pages of a peer's listing.
    is_stale : callable
        Whether this host's copy of a topic is too old to rely on.
    """

    def __init__(
        self,
        replicas: dict[str, Replica],
        clock: Clock,
        take_listing: Callable[[dict[str, KeyedPage]], None],
        is_stale: Callable[[str, Instant], bool],
    ) -> None:
        self._replicas = replicas
        self._clock = clock
        self._take_listing = take_listing
        self._is_stale = is_stale
        self._fetching: asyncio.Task[None] | None = None
        # Highest end that a peer was first heard to be ahead with, and when.
        self._behind: dict[str, tuple[int, int]] = {}
        self._fleet_differs_since_ms: int | None = None

    def compare(
        self, ends: Mapping[str, int], address: tuple[str, int], now: Instant
    ) -> None:
        """Fetch from a peer that is ahead in a topic."""
        for topic, end in ends.items():
            replica = self._replicas.get(topic)
            if replica is None:
                continue
            # Peers that are as far behind as this host say nothing about the others.
            noted = self._behind.get(topic)
            if noted is not None and replica.end >= noted[0]:
                del self._behind[topic]
            if end <= replica.end or not self._is_stale(topic, now):
                continue
            _, since_ms = self._behind.setdefault(topic, (end, now.mono_ms))
            if now.mono_ms - since_ms >= BEHIND_MS:
                self.fetch(address)
                return

    def compare_fleet(
        self, is_same: bool, address: tuple[str, int], now: Instant
    ) -> None:
        """Fetch from a relay whose upstreams differ from this host's."""
        since_ms = self._fleet_differs_since_ms
        if is_same:
            self._fleet_differs_since_ms = None
        elif since_ms is None:
            self._fleet_differs_since_ms = now.mono_ms
        elif now.mono_ms - since_ms >= FLEET_BEHIND_MS:
            self._fleet_differs_since_ms = now.mono_ms
            self.fetch(address)

    def fetch(self, address: tuple[str, int]) -> None:
        """Fetch a peer's replicas unless a fetch is under way."""
        if self._fetching is None or self._fetching.done():
            loop = asyncio.get_running_loop()
            self._fetching = loop.create_task(self._fetch(address))

    async def _fetch(self, address: tuple[str, int]) -> None:
        pool = ChannelPool(*address)
        target = b"/replicas?" + encode_known(self._replicas)
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                channel = await pool.acquire(self._clock.now().mono_ms / 1000)
                request = b"GET " + target + b" HTTP/1.1\r\nHost: peer\r\n\r\n"
                channel.send(request, lambda head: True)
                try:
                    await channel.read_head()
                    data = await channel.read_body()
                finally:
                    channel.close()
            pages = decode_listing(data)
        except (
            ChannelError,
            TimeoutError,
            zlib.error,
            msgspec.DecodeError,
            ValueError,
        ) as error:
            logger.warning(
                "replicas not fetched from a peer",
                extra={"peer": address[0], "error": repr(error)},
            )
            return
        logger.info(
            "replicas fetched from a peer",
            extra={
                "peer": address[0],
                "ends": {topic: page.end for topic, page in pages.items()},
                "size_bytes": len(data),
            },
        )
        self._take_listing(pages)
