"""Transfer of a stream's KV cache from an upstream that is reclaimed."""

import asyncio

from result import Err

from waxwingbarrow.daemon._dispatch import Attempt, make_address
from waxwingbarrow.daemon._logs import get_logger
from waxwingbarrow.upstreams import EngineClient

EXPORT_TIMEOUT_S = 1.0  # the margin of a reclaim; the caller waits meanwhile
IMPORT_TIMEOUT_S = 1.0

logger = get_logger("transfers")


async def export_cache(engines: EngineClient, source: Attempt, stream_id: str) -> str:
    """Return the exported KV cache; empty if the engine refuses or has ended."""
    try:
        async with asyncio.timeout(EXPORT_TIMEOUT_S):
            exported = await engines.export_kv(
                make_address(source.choice.view), stream_id
            )
    except TimeoutError:
        logger.warning("%s did not export a stream in time.", source.upstream)
        return ""
    if isinstance(exported, Err):
        logger.warning("%s: %s", source.upstream, exported.err_value.detail)
        return ""
    return exported.ok_value


async def import_cache(engines: EngineClient, target: Attempt, blob: str) -> bool:
    """Import an exported KV cache; without it the target recomputes the text."""
    try:
        async with asyncio.timeout(IMPORT_TIMEOUT_S):
            imported = await engines.import_kv(make_address(target.choice.view), blob)
    except TimeoutError:
        logger.warning("%s did not import a stream in time.", target.upstream)
        return False
    if isinstance(imported, Err):
        logger.warning("%s: %s", target.upstream, imported.err_value.detail)
        return False
    return True
