"""Events, limits and shared parts of answers that model engines generate."""

import asyncio

import attrs

from waxwingbarrow.core import Clock, Refusal, VersionName
from waxwingbarrow.daemon._dispatch import Attempt, Dispatcher
from waxwingbarrow.daemon._requests import CallerRequest
from waxwingbarrow.streams import ResumeKeys, ResumeToken, Token, seal_token
from waxwingbarrow.upstreams import EngineClient, ServiceClient


@attrs.frozen
class ResumeOffer:
    """The token with which the caller can continue on any entry host."""

    token: str


@attrs.frozen
class Tokens:
    """Next tokens of the answer."""

    tokens: tuple[Token, ...]


@attrs.frozen
class Finished:
    """The answer is complete."""

    count: int
    version: VersionName


@attrs.frozen
class Failed:
    """The answer could not be completed."""

    refusal: Refusal


@attrs.frozen
class HandedOver:
    """The host stops; the caller resumes elsewhere with its token."""

    token: str
    from_index: int


GenerationEvent = ResumeOffer | Tokens | Finished | Failed | HandedOver


@attrs.frozen(kw_only=True)
class Prompt:
    """What is to be generated.

    Parameters
    ----------
    text : str
        The caller's prompt; empty if a resuming caller did not send it again.
    delivered : str
        Text that the caller has from an earlier stream.
    first_index : int
        Index of the first token to deliver.
    """

    text: str
    max_tokens: int
    delivered: str = ""
    first_index: int = 0


@attrs.frozen(kw_only=True)
class GenerationPolicy:
    """Limits of one request.

    Parameters
    ----------
    max_attempts : int
        Attempts in a row that deliver nothing before a pause.
    token_lifetime_s : int
        Validity of a resume token.
    """

    max_attempts: int
    token_lifetime_s: int


@attrs.frozen(kw_only=True)
class GenerationContext:
    """What all answers of the host share.

    Parameters
    ----------
    probes : ServiceClient
        Tells whether an upstream still accepts connections.
    stopping : asyncio.Event
        Set when open streams are to be handed over.
    """

    dispatcher: Dispatcher
    engines: EngineClient
    probes: ServiceClient
    clock: Clock
    keys: ResumeKeys
    policy: GenerationPolicy
    stopping: asyncio.Event

    def make_token(
        self,
        request: CallerRequest,
        prompt: Prompt,
        attempt: Attempt,
        stream_id: str,
    ) -> str:
        """Return the token with which the caller can resume a stream."""
        view = attempt.choice.view
        lifetime_ms = self.policy.token_lifetime_s * 1000
        token = ResumeToken(
            account=request.account,
            service=request.service,
            route=request.route.route,
            max_tokens=prompt.max_tokens,
            fingerprint=attempt.fingerprint,
            upstream=view.upstream,
            address=view.address,
            stream_id=stream_id,
            version=attempt.version,
            request_id=request.request_id,
            expires_ms=self.clock.now().wall_ms + lifetime_ms,
        )
        return seal_token(token, self.keys)
