"""Address of an upstream."""

import attrs

from waxwingbarrow.core import UpstreamId


@attrs.frozen
class UpstreamAddress:
    """Identity of an upstream and where it listens.

    Parameters
    ----------
    upstream : UpstreamId
        Identity, for logs.
    address : str
        Host and port.
    """

    upstream: UpstreamId
    address: str

    def make_url(self, path: str) -> str:
        """Return the URL of a path that starts with a slash."""
        return f"http://{self.address}{path}"
