"""Hashes of the leading blocks of a prompt."""

import xxhash


def hash_prefix(text: str, block_chars: int) -> tuple[int, ...]:
    """Hash each complete block of a prompt together with everything before it.

    Parameters
    ----------
    text : str
        The prompt.
    block_chars : int
        Characters per block.

    Returns
    -------
    tuple of int
        One 64-bit hash per complete block. Two prompts share the first n hashes
        exactly if their first ``n * block_chars`` characters are equal, up to hash
        collisions. An incomplete last block is left out because it changes when the
        prompt grows.

    Raises
    ------
    ValueError
        If `block_chars` is not positive.

    Examples
    --------
    >>> short, grown = hash_prefix("abcdef", 2), hash_prefix("abcdefgh", 2)
    >>> grown[:3] == short, len(grown)
    (True, 4)
    >>> hash_prefix("xbcdef", 2)[2] == short[2]
    False
    """
    if block_chars < 1:
        raise ValueError(f"A block holds at least 1 character, not {block_chars}.")
    hashes = []
    previous = 0
    for start in range(0, len(text) - block_chars + 1, block_chars):
        block = text[start : start + block_chars].encode()
        previous = xxhash.xxh3_64_intdigest(block, seed=previous)
        hashes.append(previous)
    return tuple(hashes)
