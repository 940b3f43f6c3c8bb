"""Guards against records of blocked prompt parts that change when written again."""

from result import Err, Ok

from waxwingbarrow.core import ManualClock
from waxwingbarrow.gateway.base import KeyedPage, StoreUnreachable
from waxwingbarrow.gateway.upstreams._crash_records import CrashRecorder
from waxwingbarrow.gateway.upstreams._crash_tracker import CrashTracker

LOSSES = ("pool/7", 1, 500, [("u1", 1)], [])


class Store:
    def __init__(self):
        self.values = {}
        self.is_away = False

    async def read_newest(self, topic):
        return Ok(KeyedPage((), 0))

    async def write_keyed(self, topic, key, value, epoch=None):
        if self.is_away:
            return Err(StoreUnreachable("away"))
        self.values[key] = value
        return Ok(0)


async def test_blocked_parts_are_recorded_again_as_they_were():
    """A part counted as blocked for longer each time its record was written again.

    An older copy of the store may also hold the record of a part that is blocked no
    more.
    """
    store, clock = Store(), ManualClock()
    recorder = CrashRecorder(store, CrashTracker(), clock)
    await recorder._write("pool/7", LOSSES)
    await recorder._write("pool/8", LOSSES)
    await recorder._write("pool/8", None)
    recorded = dict(store.values)
    clock.advance_ms(20_000)
    store.values = {"pool/8": recorded["pool/7"]}
    store.is_away = True
    assert not await recorder.record_again()
    store.is_away = False
    assert await recorder.record_again()
    assert store.values == recorded
