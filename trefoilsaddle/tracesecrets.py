"""Redact the callers' secrets in a trace.

Each key, body, path and token is replaced by an alias.  Equal values get
equal aliases, and the alias of a key falls into the same shard as the key, so
that a replay makes the same decisions.  The aliases are computed by a keyed
hash whose key is drawn at random for each trace and never written.
"""

from abc import ABC, abstractmethod
from collections import OrderedDict
from dataclasses import dataclass, replace
from hashlib import blake2b
from secrets import token_bytes

from trefoilsaddle.core.calls import Answer, IdempotencyKey, Reply, Request
from trefoilsaddle.core.events import (
    AttemptEnded,
    CallArrived,
    Event,
    MessageReceived,
)
from trefoilsaddle.core.messages import (
    Forward,
    ForwardAnswer,
    Handover,
    KeptOutcome,
    Message,
)
from trefoilsaddle.core.units import MemberName, ServiceName, Version
from trefoilsaddle.core.view import LogView

_HASH_BYTES = 16
_NUMBER_BYTES = 8
_MAX_ALIASES = 10_000
# Attempts per shard to find an alias that falls into the same shard; with
# seven, one key in a thousand finds none.
_TRIES_PER_SHARD = 7


class Redactor(ABC):
    """Remove secrets from events before they are recorded."""

    @abstractmethod
    def redact(self, event: Event, view: LogView) -> Event:
        """Return the event without its secrets."""


class NoRedactor(Redactor):
    """Keep keys and bodies in clear text, for use with test data."""

    def redact(self, event: Event, view: LogView) -> Event:
        """Return the event unchanged."""
        return event


@dataclass(frozen=True, slots=True)
class _KeyIdentity:
    service: ServiceName
    member: MemberName
    key: bytes
    # The number of shards may change with each version.
    version: Version


class Aliases:
    """Compute aliases; equal secrets of one trace get equal aliases."""

    def __init__(self, hash_key: bytes) -> None:
        """Use a hash key that is never written to the trace."""
        self._hash_key = hash_key
        self._keys: OrderedDict[_KeyIdentity, bytes] = OrderedDict()

    def make_text(self, secret: str) -> str:
        """Return the alias of a text."""
        return self._hash(secret.encode()).hex()

    def make_number(self, secret: int) -> int:
        """Return the alias of a hash."""
        digest = self._hash(secret.to_bytes(_NUMBER_BYTES))
        return int.from_bytes(digest[:_NUMBER_BYTES])

    def make_body(self, secret: bytes) -> bytes:
        """Return an alias of the same length, since limits depend on it."""
        return self._hash(secret).ljust(len(secret), b'.')[: len(secret)]

    def make_key(self, request: Request, view: LogView) -> bytes:
        """Return an alias that falls into the same shard as the key."""
        name = _KeyIdentity(
            request.service,
            request.member,
            request.key,
            view.version,
        )
        if name not in self._keys:
            self._keys[name] = self._find_key(name, view)
        if len(self._keys) > _MAX_ALIASES:
            self._keys.popitem(last=False)
        return self._keys[name]

    def _find_key(self, name: _KeyIdentity, view: LogView) -> bytes:
        shard = view.shard_of(name.service, name.member, name.key)
        for number in range(_count_tries(name.service, view)):
            alias = self._hash(name.key, number).hex().encode()
            if view.shard_of(name.service, name.member, alias) == shard:
                return alias
        # A hot key is the only one in its shard, so no alias falls into it.
        return self._hash(name.key).hex().encode()

    def _hash(self, secret: bytes, number: int = 0) -> bytes:
        digest = blake2b(
            secret,
            digest_size=_HASH_BYTES,
            key=self._hash_key,
            salt=number.to_bytes(_NUMBER_BYTES),
        )
        return digest.digest()


class AliasRedactor(Redactor):
    """Replace secrets by aliases."""

    def __init__(self, hash_key: bytes | None = None) -> None:
        """Draw a random hash key, unless one is given."""
        self._aliases = Aliases(hash_key or token_bytes(_HASH_BYTES))

    def redact(self, event: Event, view: LogView) -> Event:
        """Return the event with its secrets replaced by aliases."""
        if isinstance(event, CallArrived):
            request = self._redact_request(event.call.request, view)
            return CallArrived(replace(event.call, request=request))
        if isinstance(event, AttemptEnded):
            return replace(event, reply=self._redact_reply(event.reply))
        if isinstance(event, MessageReceived):
            message = self._redact_message(event.message, view)
            return replace(event, message=message)
        return event

    def _redact_message(self, message: Message, view: LogView) -> Message:
        if isinstance(message, Forward):
            request = self._redact_request(message.request, view)
            return replace(message, request=request)
        if isinstance(message, ForwardAnswer):
            return replace(message, answer=self._redact_answer(message.answer))
        if isinstance(message, Handover):
            kept = tuple(map(self._redact_outcome, message.outcomes))
            return replace(message, outcomes=kept)
        return message

    def _redact_request(self, request: Request, view: LogView) -> Request:
        return replace(
            request,
            key=self._aliases.make_key(request, view),
            path=self._aliases.make_text(request.path),
            body=self._aliases.make_body(request.body),
            idempotency_key=self._redact_token(request.idempotency_key),
        )

    def _redact_token(
        self, key: IdempotencyKey | None
    ) -> IdempotencyKey | None:
        if key is None:
            return None
        return replace(key, token=self._aliases.make_text(key.token))

    def _redact_answer(self, answer: Answer) -> Answer:
        return replace(answer, reply=self._redact_reply(answer.reply))

    def _redact_reply(self, reply: Reply | None) -> Reply | None:
        if reply is None:
            return None
        return replace(reply, body=self._aliases.make_body(reply.body))

    def _redact_outcome(self, kept: KeptOutcome) -> KeptOutcome:
        answer = kept.answer
        return replace(
            kept,
            token=self._aliases.make_text(kept.token),
            fingerprint=self._aliases.make_number(kept.fingerprint),
            key_hash=self._aliases.make_number(kept.key_hash),
            answer=None if answer is None else self._redact_answer(answer),
        )


def _count_tries(service: ServiceName, view: LogView) -> int:
    if view.configuration is None:
        return 0
    policy = view.configuration.services.get(service)
    return 0 if policy is None else policy.shard_count * _TRIES_PER_SHARD
