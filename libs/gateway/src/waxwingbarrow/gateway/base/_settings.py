"""Settings of a gateway, read from a JSON file."""

import logging
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import FieldInvalid, in_range, read_json
from waxwingbarrow.gateway.base._decoding import MAX_PORT, parse_decimal

ADDRESS_HELP = "an IP address and a port, such as 10.0.0.1:8000"


def _check_address(instance: Any, attribute: Any, value: str) -> None:
    host, _, port = value.rpartition(":")
    if not host or not parse_decimal(port, MAX_PORT):
        raise ValueError(f"{attribute.name} must be {ADDRESS_HELP}")


def _check_addresses(instance: Any, attribute: Any, value: tuple[str, ...]) -> None:
    for address in value:
        _check_address(instance, attribute, address)


def _check_log_level(instance: Any, attribute: Any, value: str) -> None:
    if value.upper() not in logging.getLevelNamesMapping():
        raise ValueError(f"{attribute.name} must be a log level, such as INFO")


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
    """Address and limits of the platform's metadata store.

    Parameters
    ----------
    address : str
        IP address and port of the store.
    min_ttl_ms : int
        Shortest time to live that the store accepts for a group member.
    """

    address: str = attrs.field(validator=_check_address)
    min_ttl_ms: int = 1_000


@attrs.frozen(kw_only=True)
class CloudSettings:
    """Address of the cloud API and the duties that the gateway performs for it.

    Parameters
    ----------
    address : str
        IP address and port of the cloud API.
    duties : tuple of str
        Any of "usage", for usage reports, and "scale", for orders of workers.
    """

    address: str = attrs.field(validator=_check_address)
    duties: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class HostSize:
    """Capacity of this host; hosts with more are preferred as relays.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of the host's network link.
    core_share, core_speed : float
        Number of cores that the process may use, such as 0.5, and their speed relative
        to the core that `MBPS_PER_CORE` is for.
    memory_mb : float
        Memory that the process may use, in MiB.
    max_descriptors : int
        Number of file descriptors that the process may have open.
    caller_memory_share : float
        Fraction of `memory_mb` for what is held on behalf of callers.
    """

    link_mbps: float = attrs.field(default=1_000.0, validator=in_range(0.1, 1e6))
    core_share: float = attrs.field(default=1.0, validator=in_range(0.001, 1024))
    core_speed: float = attrs.field(default=1.0, validator=in_range(0.001, 1024))
    memory_mb: float = attrs.field(default=160.0, validator=in_range(32, 1e7))
    max_descriptors: int = attrs.field(
        default=1_024, validator=in_range(128, 1_048_576)
    )
    caller_memory_share: float = attrs.field(
        default=0.25, validator=in_range(0.05, 0.8)
    )


@attrs.frozen(kw_only=True)
class Bounds:
    """Timeouts and tolerances of the deployment; docs/gateway.md has more on each.

    Parameters
    ----------
    grace_s : float
        Time from SIGTERM until the process is killed.
    drain_ms : int
        Time for which a leaving upstream keeps serving if its registration states none.
    budget_ratio, budget_window_s, budget_slack : float, int, float
        Retry budget of a service over all hosts: retries per request, the window in
        which both are counted, and retries per window allowed whatever the ratio.
    quota_slack : float
        Amount by which all hosts together may exceed an account's limit, in the unit
        of the account: tokens or requests.
    lease_ms : int
        Time that a host which held the duties before waits when it gets them back,
        before it acts; see `Lease`.
    usage_window_s : float
        Length of the windows in which usage is reported.
    usage_late_s : float
        Time after the end of a window at which its report is due.
    max_exposure_share, exposure_slack : float
        Fraction of the requests that a faulty version may get until the deadline of its
        rollout, and the number that it may get beyond.
    cold_over, cold_slack : float
        Requests that a cold upstream may get in any second: the rate that it tolerates
        times `cold_over`, and `cold_slack` more.
    evacuation_ms : int
        Time after an operator's order to evacuate a data centre from which no request
        may reach an upstream there.
    """

    grace_s: float = 8.0
    drain_ms: int = 2_000
    budget_ratio: float = 0.2
    budget_window_s: int = 10
    budget_slack: float = 50.0
    quota_slack: float = 0.0
    lease_ms: int = 3_000
    usage_window_s: float = 5.0
    usage_late_s: float = 10.0
    max_exposure_share: float = 0.1
    exposure_slack: float = 50.0
    cold_over: float = attrs.field(default=1.5, validator=in_range(0, 100))
    cold_slack: float = attrs.field(default=5.0, validator=in_range(0, 100_000))
    evacuation_ms: int = attrs.field(default=5_000, validator=in_range(0, 3_600_000))


@attrs.frozen(kw_only=True)
class AdmissionSettings:
    """Admission of requests to model engines while these are scarce.

    Parameters
    ----------
    by_urgency : bool
        Whether requests are served by priority and by fair shares of the accounts;
        otherwise all are that can start in time.
    scarce_share : float
        Engines are scarce for a request if its estimated start takes more than this
        fraction of its objective.
    """

    by_urgency: bool = False
    scarce_share: float = attrs.field(default=0.5, validator=in_range(0.01, 1.0))


@attrs.frozen(kw_only=True)
class HedgingSettings:
    """Second attempts for slow requests, and connect timeouts.

    Parameters
    ----------
    extra_share : float
        Fraction of a service's requests for which a second attempt may be sent; 0
        disables second attempts.
    delay_factor : float
        Delay before the second attempt as a multiple of the expected time.
    fast_connect : bool
        Whether connection attempts end within a quarter of the route's objective.
    """

    extra_share: float = attrs.field(default=0.0, validator=in_range(0, 1))
    delay_factor: float = attrs.field(default=3.0, validator=in_range(0.1, 100))
    fast_connect: bool = False


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """All settings of a gateway.

    Parameters
    ----------
    host_id, data_centre : str
        Name and data centre of this host.
    ip : str
        IP address of this host, for messages between hosts and for the metrics page.
    caller_address, ready_address, control_address : str
        Listening addresses for callers, the readiness probe and peers.
    peer_port : int
        UDP port for messages between hosts; the same on all hosts.
    seeds : tuple of str
        Control addresses of hosts to ask while the store cannot be reached.
    is_first_start : bool
        Whether the whole deployment starts for the first time. Otherwise the limits of
        accounts count as used up at first.
    size : HostSize
        Capacity of this host.
    bounds : Bounds
        Timeouts and tolerances of the deployment.
    metrics_port : int
        Port of the metrics page; 0 disables it.
    log_level : str
        Lowest level of the log lines that are written, such as "INFO".
    engine_estimates : bool
        Whether the speed of model engines is estimated from their responses, and used
        instead of the figures of the data sheets.
    admission : AdmissionSettings
        Admission of requests while engines are scarce.
    hedging : HedgingSettings
        Second attempts for slow requests, and connect timeouts.
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
    seeds: tuple[str, ...] = attrs.field(default=(), validator=_check_addresses)
    is_first_start: bool = False
    size: HostSize = HostSize()
    bounds: Bounds = Bounds()
    metrics_port: int = attrs.field(default=9_464, validator=in_range(0, 65_535))
    log_level: str = attrs.field(default="INFO", validator=_check_log_level)
    engine_estimates: bool = False
    admission: AdmissionSettings = AdmissionSettings()
    hedging: HedgingSettings = HedgingSettings()


def read_settings(path: Path) -> Result[GatewaySettings, FieldInvalid]:
    """Read and check a settings file."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
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
