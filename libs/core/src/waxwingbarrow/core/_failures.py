"""Base class of all typed failures."""

import attrs


@attrs.frozen
class Failure:
    """Reason for which an operation did not succeed.

    Functions return failures in ``result.Err``; they are not raised.
    """

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return f"{type(self).__name__}."
