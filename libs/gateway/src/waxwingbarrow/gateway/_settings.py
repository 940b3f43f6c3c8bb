"""Settings of one gateway, read from a JSON file."""

from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import FieldInvalid, in_range, read_json

ADDRESS_HELP = "an IP address and a port, such as 10.0.0.1:8000"


def _check_address(instance: Any, attribute: Any, value: str) -> None:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{attribute.name} must be {ADDRESS_HELP}")


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address.

    Examples
    --------
    >>> split_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


@attrs.frozen(kw_only=True)
class StoreSettings:
    """Address and bounds of the platform's store.

    Parameters
    ----------
    min_ttl_ms : int
        Shortest time to live of a group member.
    """

    address: str = attrs.field(validator=_check_address)
    min_ttl_ms: int = 1_000


@attrs.frozen(kw_only=True)
class CloudSettings:
    """Address of the cloud API and the duties that it expects."""

    address: str = attrs.field(validator=_check_address)
    duties: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class HostSize:
    """Size of this host; large hosts are preferred as relays.

    Parameters
    ----------
    link_mbps : float
        Rate of the host's link.
    core_share, core_speed : float
        Part of a core that the process may use, and the speed of that core.
    """

    link_mbps: float = attrs.field(default=1_000.0, validator=in_range(0.1, 1e6))
    core_share: float = attrs.field(default=1.0, validator=in_range(0.001, 1024))
    core_speed: float = attrs.field(default=1.0, validator=in_range(0.001, 1024))


@attrs.frozen(kw_only=True)
class Bounds:
    """Bounds of the deployment; see docs/gateway.md for each."""

    grace_s: float = 8.0
    drain_ms: int = 2_000
    budget_ratio: float = 0.2
    budget_window_s: int = 10
    budget_slack: float = 50.0
    quota_slack: float = 0.0
    lease_ms: int = 3_000
    usage_window_s: float = 5.0
    usage_late_s: float = 10.0


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """All settings.

    Parameters
    ----------
    host_id, data_centre : str
        Name and place of this host.
    caller_address, ready_address, control_address : str
        Where callers, the readiness probe and peers connect.
    peer_port : int
        UDP port for messages between hosts; the same on all hosts.
    seeds : tuple of str
        Control addresses of hosts to ask when the store cannot be reached.
    is_first_start : bool
        Whether the whole deployment starts for the first time.
    size : HostSize
        Size of this host.
    metrics_port : int
        Port of the metrics; 0 for none.
    """

    host_id: str
    data_centre: str
    ip: str
    caller_address: str = attrs.field(validator=_check_address)
    ready_address: str = attrs.field(validator=_check_address)
    control_address: str = attrs.field(validator=_check_address)
    peer_port: int = attrs.field(validator=in_range(1, 65_535))
    store: StoreSettings
    cloud: CloudSettings | None = None
    seeds: tuple[str, ...] = ()
    is_first_start: bool = False
    size: HostSize = HostSize()
    bounds: Bounds = Bounds()
    metrics_port: int = attrs.field(default=9_464, validator=in_range(0, 65_535))
    log_level: str = "INFO"


def read_settings(path: Path) -> Result[GatewaySettings, FieldInvalid]:
    """Read and check a settings file."""
    try:
        text = path.read_text()
    except OSError as error:
        return Err(
            FieldInvalid(
                source=str(path),
                field="",
                value="",
                allowed=f"a readable file: {error}",
            )
        )
    return read_json(text, GatewaySettings, str(path))


__all__ = ["Err", "GatewaySettings", "Ok", "read_settings", "split_address"]
