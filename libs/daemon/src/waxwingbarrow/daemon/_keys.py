"""TLS keys and resume token keys from the settings."""

from pathlib import Path

from waxwingbarrow.daemon._settings import Settings
from waxwingbarrow.peers import TlsSettings
from waxwingbarrow.streams import ResumeKey, ResumeKeys


def read_tls(settings: Settings) -> TlsSettings | None:
    """Read the certificates and the key for TLS between daemons; None if not set.

    Raises
    ------
    OSError
        If a file cannot be read.
    """
    if settings.tls is None:
        return None
    return TlsSettings(
        certificate=Path(settings.tls.certificate_path).read_bytes(),
        private_key=Path(settings.tls.private_key_path).read_bytes(),
        authority=Path(settings.tls.authority_path).read_bytes(),
    )


def make_resume_keys(settings: Settings) -> ResumeKeys:
    """Return the keys of resume tokens; new tokens are signed with the first one."""
    keys = tuple(
        ResumeKey(item.key_id, item.secret.encode()) for item in settings.token_keys
    )
    return ResumeKeys(keys[0], keys[1:])
