"""Base class of all typed failures."""

import attrs


@attrs.frozen
class Failure:
    """A reason why an operation did not succeed.

    Functions return failures in ``result.Err``; they are not raised.
    """

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        return f"{type(self).__name__}."
