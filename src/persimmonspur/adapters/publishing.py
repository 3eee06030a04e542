"""Publishes configurations through the object API."""

from collections.abc import Callable
from uuid import uuid4

import gevent
from expression import Error, Ok, Result

from persimmonspur.clock import Clock
from persimmonspur.core.configuration.fields import DocumentError
from persimmonspur.core.configuration.publication import (
    NotPublished,
    Pause,
    Propose,
    Publication,
    PublicationAction,
    Published,
    ReadObject,
    Revise,
    WriteObject,
)
from persimmonspur.errors import ErrorKind
from persimmonspur.model.configuration import Configuration
from persimmonspur.ports import ObjectApi

PUBLISH_TIMEOUT_MS = 30_000.0

ApprovalCallback = Callable[[Propose], bool]


class Publisher:
    """Executes the actions of publications until they end or time out."""

    def __init__(
        self, api: ObjectApi, clock: Clock, timeout_ms: float = PUBLISH_TIMEOUT_MS
    ) -> None:
        """Create a publisher.

        :param timeout_ms: time after which a publication is given up, in milliseconds.
        """
        self._api = api
        self._clock = clock
        self._timeout_ms = timeout_ms

    def publish(
        self,
        revise: Revise,
        attempt: str,
        expected_version: int | None = None,
        approve: ApprovalCallback | None = None,
    ) -> Result[Published, NotPublished]:
        """Publish the configuration that ``revise`` derives from the current one.

        :param attempt: unique id of this attempt.
        :param expected_version: replace only this version, if given.
        :param approve: receives the changes before anything is written; if it returns
            ``False``, nothing is published.
        """
        deadline_ms = self._clock.now_ms() + self._timeout_ms
        publication = Publication(revise, attempt, expected_version)
        action = publication.start()
        while True:
            match action:
                case Published():
                    return Ok(action)
                case NotPublished():
                    return Error(action)
                case Propose():
                    if approve is not None and not approve(action):
                        return Ok(Published(action.version - 1, changed=False))
                    action = publication.confirm()
                case Pause():
                    if self._clock.now_ms() > deadline_ms:
                        action = publication.give_up()
                        continue
                    gevent.sleep(action.duration_ms / 1000)
                    action = publication.resume()
                case _:
                    action = self._execute(publication, action)

    def _execute(
        self, publication: Publication, action: ReadObject | WriteObject
    ) -> PublicationAction:
        if isinstance(action, WriteObject):
            written = self._api.write(action.key, action.value, action.expected_version)
            if written.is_ok():
                return publication.observe_written(written.ok)
            if written.error.kind is ErrorKind.CONFLICT:
                return publication.observe_conflict()
            return publication.observe_unknown_outcome()
        read = self._api.read(action.key)
        if read.is_error():
            return publication.observe_unknown_outcome()
        stored = read.ok
        if stored is None:
            return publication.observe_object(0, None)
        return publication.observe_object(stored.version, stored.value)


def publish_configuration(
    api: ObjectApi, configuration: Configuration, timeout_ms: float = PUBLISH_TIMEOUT_MS
) -> Result[Published, NotPublished]:
    """Store a configuration as the next version, whatever the current one is."""

    def revise(_current: Configuration | None) -> Result[Configuration, list[DocumentError]]:
        return Ok(configuration)

    clock = Clock()
    attempt = f"publish/{uuid4()}"
    return Publisher(api, clock, timeout_ms).publish(revise, attempt)
