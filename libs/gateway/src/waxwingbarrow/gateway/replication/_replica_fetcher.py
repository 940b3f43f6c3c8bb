"""Fetches of replicas from peers that are ahead of this host."""

import asyncio
import logging
import zlib
from collections.abc import Callable, Mapping
from urllib.parse import parse_qsl, urlencode

import msgspec

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway.base import (
    DECODING_ERRORS,
    BoundedInt,
    KeyedPage,
    KeyedRecord,
    Position,
    Topic,
    parse_decimal,
)
from waxwingbarrow.gateway.replication._replica import Replica
from waxwingbarrow.gateway.upstreams import ChannelError, ChannelPool

logger = logging.getLogger("waxwingbarrow.gateway.peers")

# A host that has been behind a peer for this long fetches from it. Before that, the
# store's answer to a long poll is normally on its way.
FETCH_DELAY_MS = 150
FETCH_TIMEOUT_S = 1.0
# Upstreams that differ from the relay's are fetched after this time. Differences that
# last for up to two messages only show that one host has read the store a moment before
# the other.
FLEET_FETCH_DELAY_MS = 500
# Maximum size of a decompressed listing: many times the size of the registrations and
# the configuration of the largest deployment.
MAX_LISTING_BYTES = 16 * 1024 * 1024

# Parameter of a fetch with the era of the offsets that a host knows.
ERA_PARAMETER = "era"


class _TopicListing(msgspec.Struct, array_like=True):
    """Records of a topic.

    Parameters
    ----------
    end : int
        Offset after the newest record.
    records : list
        Offset, key and value of each record.
    era : int
        Era of the store that the offsets belong to.
    """

    end: BoundedInt
    records: list[tuple[BoundedInt, str, bytes]]
    era: BoundedInt = 0


Listing = dict[str, _TopicListing]


def encode_listing(
    replicas: Mapping[str, Replica], known: Mapping[str, Position]
) -> bytes:
    """Serialize the replicas in which this host is ahead of a peer.

    All hosts of a data centre fetch from one relay, whose link may be slow, so the
    listing is compressed: names of fields repeat in each record.

    Parameters
    ----------
    known : mapping
        Position up to which the peer knows each topic.
    """
    listing: dict[str, object] = {}
    for topic, replica in replicas.items():
        if topic == Topic.CONFIGURATION and _is_in_store(replica, replicas):
            continue
        if replica.is_loaded and (
            topic not in known or replica.position > known[topic]
        ):
            page = replica.make_listing()
            records = [(r.offset, r.key, r.value) for r in page.records]
            # Hosts of the version before know no eras.
            listing[topic] = (page.end, records, *([page.era] if page.era else []))
    return zlib.compress(msgspec.msgpack.encode(listing), 1)


def _is_in_store(in_force: Replica, replicas: Mapping[str, Replica]) -> bool:
    """Whether the listing of the operator's topic has the configuration in force."""
    operator = replicas.get(Topic.OPERATOR)
    return operator is not None and all(
        key in operator.records and operator.records[key].value == record.value
        for key, record in in_force.records.items()
    )


def decode_listing(data: bytes) -> dict[str, KeyedPage]:
    """Deserialize a listing of a peer's replicas into a page for each topic.

    Raises
    ------
    zlib.error, any of `DECODING_ERRORS`
        The bytes are not a listing.
    """
    decompressed = zlib.decompressobj().decompress(data, MAX_LISTING_BYTES)
    listing = msgspec.msgpack.decode(decompressed, type=Listing)
    return {
        topic: KeyedPage(
            tuple(KeyedRecord(*record) for record in item.records), item.end, item.era
        )
        for topic, item in listing.items()
    }


def list_end_offsets(replicas: Mapping[str, Replica]) -> tuple[int, dict[str, int]]:
    """Return the newest known era, and for each topic the offset of its end in it.

    Topics that are known only in an earlier era are left out.
    """
    era = max((replica.position.era for replica in replicas.values()), default=0)
    return era, {
        topic: replica.end
        for topic, replica in replicas.items()
        if replica.position.era == era
    }


def encode_positions(replicas: Mapping[str, Replica]) -> bytes:
    """Return a query string with the position up to which this host knows each topic.

    Topics that are known only in an earlier era are left out.
    """
    era, ends = list_end_offsets(replicas)
    known = {topic: end for topic, end in ends.items() if replicas[topic].is_loaded}
    return urlencode({**known, ERA_PARAMETER: era}).encode()


def decode_positions(query: bytes) -> dict[str, Position]:
    """Parse the query string of a fetch, ignoring values that are not offsets.

    Examples
    --------
    >>> decode_positions(b"operator=3&upstreams=x&era=2")
    {'operator': Position(era=2, offset=3)}
    """
    pairs = parse_qsl(query.decode("latin-1"))
    numbers = {name: parse_decimal(number) for name, number in pairs}
    era = numbers.pop(ERA_PARAMETER, None) or 0
    return {
        topic: Position(era, end) for topic, end in numbers.items() if end is not None
    }


class ReplicaFetcher:
    """Fetches replicas from a peer when this host has been behind for a while.

    Parameters
    ----------
    apply_listings : callable
        Applies the pages of a peer's listing.
    should_fetch : callable
        Returns whether a topic is fetched from a peer that is ahead in it.
    """

    def __init__(
        self,
        replicas: dict[str, Replica],
        clock: Clock,
        apply_listings: Callable[[dict[str, KeyedPage]], None],
        should_fetch: Callable[[str, Instant], bool],
    ) -> None:
        self._replicas = replicas
        self._clock = clock
        self._apply_listings = apply_listings
        self._should_fetch = should_fetch
        self._fetch_task: asyncio.Task[None] | None = None
        # By topic, the position with which a peer was first seen to be ahead, and the
        # monotonic time of that.
        self._behind: dict[str, tuple[Position, int]] = {}
        self._fleet_differs_since_ms: int | None = None

    def fetch_if_behind(
        self,
        positions: Mapping[str, Position],
        address: tuple[str, int],
        now: Instant,
    ) -> None:
        """Fetch from a peer if this host has been behind for `FETCH_DELAY_MS`.

        Parameters
        ----------
        positions : mapping
            Position up to which the peer knows each topic.
        address : tuple
            IP address and control port of the peer.
        """
        for topic, position in positions.items():
            replica = self._replicas.get(topic)
            if replica is None:
                continue
            # The delay goes on until this host has caught up: a message of another peer
            # that is as far behind must not restart it.
            noted = self._behind.get(topic)
            if noted is not None and replica.position >= noted[0]:
                del self._behind[topic]
            if position <= replica.position or not self._should_fetch(topic, now):
                continue
            _, since_ms = self._behind.setdefault(topic, (position, now.mono_ms))
            if now.mono_ms - since_ms >= FETCH_DELAY_MS:
                self.fetch(address)
                return

    def fetch_if_fleet_differs(
        self, is_same: bool, address: tuple[str, int], now: Instant
    ) -> None:
        """Fetch from a relay if its upstreams have differed for `FLEET_FETCH_DELAY_MS`.

        Parameters
        ----------
        is_same : bool
            Whether the relay now knows the same upstreams as this host.
        """
        since_ms = self._fleet_differs_since_ms
        if is_same:
            self._fleet_differs_since_ms = None
        elif since_ms is None:
            self._fleet_differs_since_ms = now.mono_ms
        elif now.mono_ms - since_ms >= FLEET_FETCH_DELAY_MS:
            self._fleet_differs_since_ms = now.mono_ms
            self.fetch(address)

    def fetch(self, address: tuple[str, int]) -> None:
        """Start a fetch of a peer's replicas unless one is in progress."""
        if self._fetch_task is None or self._fetch_task.done():
            loop = asyncio.get_running_loop()
            self._fetch_task = loop.create_task(self._fetch(address))

    async def _fetch(self, address: tuple[str, int]) -> None:
        pool = ChannelPool(*address)
        target = b"/replicas?" + encode_positions(self._replicas)
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
        except (ChannelError, TimeoutError, zlib.error, *DECODING_ERRORS) as error:
            logger.warning(
                "fetch of replicas from a peer failed",
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
        self._apply_listings(pages)
