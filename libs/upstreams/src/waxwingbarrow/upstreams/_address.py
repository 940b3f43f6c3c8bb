"""Network address of an upstream."""

import attrs

from waxwingbarrow.core import UpstreamId


@attrs.frozen
class UpstreamAddress:
    """Identity of an upstream and where it listens.

    Parameters
    ----------
    upstream : UpstreamId
        Identity of the upstream, for logs.
    address : str
        ``host:port`` of its HTTP server.
    """

    upstream: UpstreamId
    address: str

    def make_url(self, path: str) -> str:
        """Return the URL of `path`, which starts with a slash."""
        return f"http://{self.address}{path}"
