"""Eras of the store: spans of time in which it keeps what it has acknowledged.

A store that comes back from an older copy begins a new era. It lacks the last records
of the era before, and gives out their offsets and generations again. So these numbers
have an order only together with their era.
"""

import attrs

# Numbers of one era, which are below this, come before all those of the next one.
NUMBERS_PER_ERA = 1_000_000_000


@attrs.frozen(order=True)
class Position:
    """Position in a topic, ordered over the eras of the store.

    Parameters
    ----------
    era : int
        Era of the store; 0 if the store states none.
    offset : int
        Offset of the next record within the era.

    Examples
    --------
    >>> Position(1, 40) < Position(2, 3)
    True
    """

    era: int = 0
    offset: int = 0


def number_in_era(era: int, number: int) -> int:
    """Return a number that is greater than those of all earlier eras.

    Examples
    --------
    >>> number_in_era(1, 40) < number_in_era(2, 3)
    True
    >>> number_in_era(0, 40)
    40
    """
    return era * NUMBERS_PER_ERA + number


def split_number(number: int) -> tuple[int, int]:
    """Return the era of a result of `number_in_era`, and the number within it."""
    return divmod(number, NUMBERS_PER_ERA)
