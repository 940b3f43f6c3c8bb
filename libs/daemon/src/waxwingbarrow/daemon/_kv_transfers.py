"""Transfer of a stream's KV cache from an upstream that is being reclaimed."""

import asyncio

from result import Err

from waxwingbarrow.daemon._dispatch import Attempt, make_address
from waxwingbarrow.daemon._logs import get_logger
from waxwingbarrow.upstreams import EngineClient

# Each equals `ReclaimPolicy.margin_ms`, the time before a reclaim in which nothing else
# is started on the upstream. The caller receives no tokens during the transfer.
EXPORT_TIMEOUT_S = 1.0
IMPORT_TIMEOUT_S = 1.0

logger = get_logger("transfers")


async def export_cache(engines: EngineClient, source: Attempt, stream_id: str) -> str:
    """Return the exported KV cache; empty if the export fails or times out."""
    try:
        async with asyncio.timeout(EXPORT_TIMEOUT_S):
            exported = await engines.export_kv(
                make_address(source.choice.view), stream_id
            )
    except TimeoutError:
        logger.warning(
            "Timeout while exporting a KV cache from upstream %s.", source.upstream
        )
        return ""
    if isinstance(exported, Err):
        logger.warning(
            "KV cache export from upstream %s failed: %s",
            source.upstream,
            exported.err_value.detail,
        )
        return ""
    return exported.ok_value


async def import_cache(engines: EngineClient, target: Attempt, blob: str) -> bool:
    """Import an exported KV cache; if it fails, the target recomputes the cache."""
    try:
        async with asyncio.timeout(IMPORT_TIMEOUT_S):
            imported = await engines.import_kv(make_address(target.choice.view), blob)
    except TimeoutError:
        logger.warning(
            "Timeout while importing a KV cache to upstream %s.", target.upstream
        )
        return False
    if isinstance(imported, Err):
        logger.warning(
            "KV cache import to upstream %s failed: %s",
            target.upstream,
            imported.err_value.detail,
        )
        return False
    return True
