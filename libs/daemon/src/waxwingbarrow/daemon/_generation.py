"""Events of generated answers, and the limits and components that answers share."""

import asyncio

import attrs

from waxwingbarrow.core import Clock, Refusal, VersionName
from waxwingbarrow.daemon._dispatch import Attempt, Dispatcher
from waxwingbarrow.daemon._requests import CallerRequest
from waxwingbarrow.streams import ResumeKeys, ResumeToken, Token, sign_token
from waxwingbarrow.upstreams import EngineClient, ServiceClient


@attrs.frozen
class ResumeOffer:
    """Token with which the caller can resume the stream through any entry host."""

    token: str


@attrs.frozen
class Tokens:
    """Tokens that follow those delivered before."""

    tokens: tuple[Token, ...]


@attrs.frozen
class Finished:
    """The answer is complete; `count` is the number of all its tokens."""

    count: int
    version: VersionName


@attrs.frozen
class Failed:
    """The answer could not be completed."""

    refusal: Refusal


@attrs.frozen
class HandedOver:
    """The host is stopping; the caller resumes through another host with its token.

    Parameters
    ----------
    token : str
        Resume token of the stream.
    from_index : int
        Index of the first token that was not delivered.
    """

    token: str
    from_index: int


GenerationEvent = ResumeOffer | Tokens | Finished | Failed | HandedOver


@attrs.frozen(kw_only=True)
class Prompt:
    """Prompt of an answer, and the range of tokens to generate.

    Parameters
    ----------
    text : str
        The caller's prompt; empty if the caller resumes without sending it again.
    max_tokens : int
        Largest number of tokens of the whole answer.
    delivered : str
        Text that the caller received before it resumed the stream.
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
        Number of successive attempts without a token after which retries pause.
    token_lifetime_s : int
        Time for which a resume token is valid.
    """

    max_attempts: int
    token_lifetime_s: int


@attrs.frozen(kw_only=True)
class GenerationContext:
    """Components that all answers of the host share.

    Parameters
    ----------
    engines : EngineClient
        Client for the upstreams that generate answers.
    probe_client : ServiceClient
        Client that checks whether an upstream still accepts connections.
    handover_started : asyncio.Event
        Set when open streams must be handed over, late in the shutdown.
    """

    dispatcher: Dispatcher
    engines: EngineClient
    probe_client: ServiceClient
    clock: Clock
    keys: ResumeKeys
    policy: GenerationPolicy
    handover_started: asyncio.Event

    def make_resume_token(
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
        return sign_token(token, self.keys)
