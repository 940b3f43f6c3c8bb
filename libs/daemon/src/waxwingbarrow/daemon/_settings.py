"""Settings of the daemon: defaults, checks and reading."""

import json
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import (
    DataCentre,
    FieldInvalid,
    HostId,
    Zone,
    in_range,
    matches,
    not_empty,
    parse_json,
    read_data,
)

NAME_VALIDATOR = matches(
    r"[a-z0-9][a-z0-9.-]{0,62}",
    "1 to 63 characters of a-z, 0-9, dot and hyphen, not starting with dot or hyphen",
)
ADDRESS_VALIDATOR = matches(
    r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}", "an IPv4 address and port such as 10.0.0.1:8443"
)
KEY_HASH_VALIDATOR = matches(
    r"sha256:[0-9a-f]{64}", "sha256: followed by 64 lower-case hexadecimal digits"
)

# Defaults of the optional settings. A setting without an entry here is required.
DEFAULTS: dict[str, Any] = {
    "peers": [],
    "operator_key_hashes": [],
    "tls": None,
    "gossip_interval_ms": 1_000,
    "gossip_fanout": 3,
    "host_list_interval_ms": 1_000,
    "load_interval_ms": 2_000,
    "rollout_interval_ms": 500,
    "evidence_interval_ms": 5_000,
    "checkpoint_interval_ms": 30_000,
    "log_retention_s": 86_400,
    "max_clock_skew_ms": 2_000,
    "key_max_age_s": 43_200,
    "outcome_max_bytes": 16_384,
    "log_append_timeout_ms": 5_000,
    "log_poll_ms": 2_000,
    "connect_timeout_ms": 500,
    "first_event_timeout_ms": 10_000,
    "event_gap_timeout_ms": 5_000,
    "call_timeout_ms": 10_000,
    "max_attempts": 4,
    "max_body_bytes": 1_048_576,
    "max_concurrent_requests": 512,
    "resume_token_lifetime_s": 900,
    "readiness_grace_ms": 3_000,
    "drain_timeout_ms": 25_000,
    "prefix_block_chars": 256,
    "subset_size": 12,
    "log_level": "info",
}


def setting(help_text: str, validator: Any = None) -> Any:
    """Declare a setting; `help_text` is its description in ``docs/settings.md``."""
    return attrs.field(metadata={"help": help_text}, validator=validator)


def each_item(validator: Any) -> Any:
    """Return a validator that applies `validator` to each item of a list."""
    return attrs.validators.deep_iterable(member_validator=validator)


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Addresses of the platform's services."""

    log_address: str = setting(
        "IP number and port of the log service.", ADDRESS_VALIDATOR
    )
    hosts_address: str = setting(
        "IP number and port of the host list.", ADDRESS_VALIDATOR
    )
    weights_address: str | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(ADDRESS_VALIDATOR),
        metadata={"help": "IP number and port of the weight store."},
    )
    cloud_address: str | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(ADDRESS_VALIDATOR),
        metadata={"help": "IP number and port of the cloud API."},
    )


@attrs.frozen(kw_only=True)
class TokenKey:
    """Key that authenticates resume tokens."""

    key_id: str = setting("Name of the key, carried in tokens.", NAME_VALIDATOR)
    secret: str = attrs.field(
        repr=False,
        validator=matches(r".{32,}", "at least 32 characters", is_secret=True),
        metadata={"help": "Secret shared by all entry hosts."},
    )


@attrs.frozen(kw_only=True)
class TlsSettings:
    """Files for mutual TLS between daemons."""

    certificate_path: str = setting("PEM certificate of this host.")
    private_key_path: str = setting("PEM private key of this host.")
    authority_path: str = setting("PEM certificate of the authority of all hosts.")


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one daemon; see ``docs/settings.md``."""

    host_id: HostId = setting("Name of this entry host.", NAME_VALIDATOR)
    data_centre: DataCentre = setting("Data centre of this host.", NAME_VALIDATOR)
    zone: Zone = setting("Zone of this host.", NAME_VALIDATOR)
    caller_address: str = setting(
        "Address for callers and operators.", ADDRESS_VALIDATOR
    )
    peer_address: str = setting("Address for other daemons.", ADDRESS_VALIDATOR)
    platform: PlatformSettings = setting("Addresses of the platform's services.")
    token_keys: tuple[TokenKey, ...] = setting(
        "Keys for resume tokens; the first one signs, all are accepted.",
        not_empty("at least one key"),
    )
    peers: tuple[str, ...] = setting(
        "Peer addresses to contact at the start.", each_item(ADDRESS_VALIDATOR)
    )
    operator_key_hashes: tuple[str, ...] = setting(
        "Hashes of the keys that operators present.", each_item(KEY_HASH_VALIDATOR)
    )
    tls: TlsSettings | None = setting("TLS between daemons; none if absent.")
    gossip_interval_ms: int = setting(
        "Time between gossip frames to a peer.", in_range(100, 60_000, "ms")
    )
    gossip_fanout: int = setting(
        "Number of peers to which a stream is kept open.", in_range(1, 16)
    )
    host_list_interval_ms: int = setting(
        "Time between reads of the platform's host list.", in_range(100, 60_000, "ms")
    )
    load_interval_ms: int = setting(
        "Age after which an idle upstream's load report is read again.",
        in_range(100, 60_000, "ms"),
    )
    rollout_interval_ms: int = setting(
        "Time between evaluations of a rollout.", in_range(50, 10_000, "ms")
    )
    evidence_interval_ms: int = setting(
        "Time between two gossip items with the host's rollout evidence.",
        in_range(100, 60_000, "ms"),
    )
    checkpoint_interval_ms: int = setting(
        "Time between checks whether a checkpoint is due.",
        in_range(100, 3_600_000, "ms"),
    )
    log_retention_s: int = setting(
        "Time for which the log keeps records.", in_range(10, 31_536_000, "s")
    )
    max_clock_skew_ms: int = setting(
        "Largest assumed difference between the clocks of two hosts.",
        in_range(0, 60_000, "ms"),
    )
    key_max_age_s: int = setting(
        "Age up to which an idempotency key is accepted.", in_range(1, 31_536_000, "s")
    )
    outcome_max_bytes: int = setting(
        "Largest answer that is kept with a claim.", in_range(0, 262_144, "bytes")
    )
    log_append_timeout_ms: int = setting(
        "Time after which an unanswered append counts as unsettled.",
        in_range(100, 60_000, "ms"),
    )
    log_poll_ms: int = setting(
        "Time for which a log read waits for new records.", in_range(10, 30_000, "ms")
    )
    connect_timeout_ms: int = setting(
        "Time to open a connection to an upstream.", in_range(10, 30_000, "ms")
    )
    first_event_timeout_ms: int = setting(
        "Time until the first event of a stream.", in_range(10, 600_000, "ms")
    )
    event_gap_timeout_ms: int = setting(
        "Time between two events of a stream.", in_range(10, 600_000, "ms")
    )
    call_timeout_ms: int = setting(
        "Time for a call to a plain service.", in_range(10, 600_000, "ms")
    )
    max_attempts: int = setting(
        "Attempts for one request, the first included.", in_range(1, 10)
    )
    max_body_bytes: int = setting(
        "Largest accepted request body.", in_range(1_024, 67_108_864, "bytes")
    )
    max_concurrent_requests: int = setting(
        "Requests that the host runs at the same time.", in_range(1, 100_000)
    )
    resume_token_lifetime_s: int = setting(
        "Time for which a resume token is valid.", in_range(1, 86_400, "s")
    )
    readiness_grace_ms: int = setting(
        "Time for which readiness fails before the listener closes.",
        in_range(0, 60_000, "ms"),
    )
    drain_timeout_ms: int = setting(
        "Time for open streams to end during a shutdown.", in_range(0, 600_000, "ms")
    )
    prefix_block_chars: int = setting(
        "Size of the blocks in which prompt prefixes are compared.",
        in_range(16, 65_536, "characters"),
    )
    subset_size: int = setting(
        "Number of upstreams of a service that this host uses.", in_range(1, 1_000)
    )
    log_level: str = setting(
        "Least severity that is logged.",
        matches("debug|info|warning|error", "debug, info, warning or error"),
    )


def read_settings(path: Path) -> Result[Settings, FieldInvalid]:
    """Read and check a settings file.

    Parameters
    ----------
    path : Path
        JSON file.

    Returns
    -------
    Result
        The settings, or the first invalid field with the file's name.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(_invalid(path, "", "unreadable", f"a readable file ({error})"))
    try:
        data = parse_json(text)
    except ValueError as error:
        return Err(_invalid(path, "", "not JSON", f"valid JSON ({error})"))
    if not isinstance(data, dict):
        return Err(_invalid(path, "", "not an object", "an object"))
    settings = read_data({**DEFAULTS, **data}, Settings, str(path))
    return settings.and_then(lambda checked: check_settings(checked, path))


def check_settings(settings: Settings, path: Path) -> Result[Settings, FieldInvalid]:
    """Check the rules that involve more than one setting."""
    required_retention_ms = (
        settings.key_max_age_s * 1000 + 2 * settings.max_clock_skew_ms
    )
    if required_retention_ms >= settings.log_retention_s * 1000:
        return Err(
            _invalid(
                path,
                "key_max_age_s",
                str(settings.key_max_age_s),
                "less than log_retention_s minus twice max_clock_skew_ms, "
                "so that a claim is in the log as long as its key is accepted",
            )
        )
    return Ok(settings)


def _invalid(path: Path, field: str, value: str, allowed: str) -> FieldInvalid:
    return FieldInvalid(source=str(path), field=field, value=value, allowed=allowed)


def describe_settings() -> str:
    """Return the text of ``docs/settings.md``."""
    lines = [
        "# Settings",
        "",
        "`waxwingbarrowd` reads one JSON file. Unknown settings are errors. An error "
        "names the file, the field, the value and what is allowed.",
        "",
        "| setting | default | effect |",
        "|---|---|---|",
    ]
    for field in attrs.fields(Settings):
        default = "required"
        if field.name in DEFAULTS:
            default = f"`{json.dumps(DEFAULTS[field.name])}`"
        lines.append(f"| `{field.name}` | {default} | {field.metadata['help']} |")
    for group, kind in (
        ("platform", PlatformSettings),
        ("token_keys[]", TokenKey),
        ("tls", TlsSettings),
    ):
        for field in attrs.fields(kind):
            default = "required" if field.default is attrs.NOTHING else "`null`"
            name = f"{group}.{field.name}"
            lines.append(f"| `{name}` | {default} | {field.metadata['help']} |")
    return "\n".join(lines) + "\n"
