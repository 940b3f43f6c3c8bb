"""Deterministic tokens and block hashes of the engine stand-in."""

import hashlib

CHARS_PER_TOKEN = 4
BLOCK_CHARS = 256


def make_token(model: str, prompt: str, index: int) -> str:
    """Return the token that a model generates for a prompt at an index.

    Examples
    --------
    >>> make_token("m", "p", 0) == make_token("m", "p", 0)
    True
    >>> make_token("m", "p", 0) == make_token("m", "q", 0)
    False
    """
    key = f"{len(model)}:{model}:{index}:{prompt}".encode()
    return " " + hashlib.blake2s(key, digest_size=3).hexdigest()


def expected_text(model: str, prompt: str, max_tokens: int) -> str:
    """Return the text that an engine must have sent, for byte-for-byte comparison."""
    return "".join(make_token(model, prompt, index) for index in range(max_tokens))


def count_tokens(text: str) -> int:
    """Return the number of tokens in a prompt; a partial token counts as one."""
    return -(-len(text) // CHARS_PER_TOKEN)


def hash_blocks(model: str, text: str) -> tuple[int, ...]:
    """Return one hash per full block; each covers the text up to the block's end."""
    digest = hashlib.blake2s(model.encode(), digest_size=8)
    hashes = []
    for end in range(BLOCK_CHARS, len(text) + 1, BLOCK_CHARS):
        digest.update(text[end - BLOCK_CHARS : end].encode())
        hashes.append(int.from_bytes(digest.digest()[:6]))
    return tuple(hashes)
