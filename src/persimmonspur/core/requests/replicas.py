"""Chooses the replicas that the sub-requests of one query are sent to."""

from persimmonspur.core.requests.context import CoordinationContext
from persimmonspur.core.requests.progress import Attempt, ShardProgress
from persimmonspur.core.routing.choice import (
    CHOICE_POLICIES,
    estimate_reply_time,
    filter_for_first_attempt,
    filter_for_further_attempt,
    find_usable,
)
from persimmonspur.core.routing.view import EndpointView
from persimmonspur.model.configuration import Service
from persimmonspur.model.query import SnapshotId


class ReplicaChoice:
    """Applies the choice policy to the eligible replicas of a shard."""

    def __init__(self, context: CoordinationContext, service: Service, answer_by_ms: float) -> None:
        """Initialize the replica choice for a query.

        :param answer_by_ms: latest time at which the query is answered.
        """
        self._context = context
        self._service = service
        self._answer_by_ms = answer_by_ms
        self._choose = CHOICE_POLICIES.get(context.policy)

    def list_usable(self, shard: str, snapshot: SnapshotId) -> list[EndpointView]:
        """Return the replicas of a shard that are ready and hold a snapshot."""
        replicas = self._context.view.list_replicas(self._service.name, shard)
        return find_usable(replicas, snapshot, ())

    def choose_first(self, shard: str, usable: list[EndpointView]) -> EndpointView | None:
        """Choose the replica for the first sub-request of a shard."""
        choice_context = self._context.choice_context
        for view in usable:
            if not view.warm or view.ejected_until_ms > choice_context.now_ms:
                break
        else:
            return self._choose(usable, choice_context)
        replicas = len(self._context.view.list_replicas(self._service.name, shard))
        return self._choose(
            filter_for_first_attempt(usable, replicas, choice_context), choice_context
        )

    def choose_warm_untried(
        self,
        progress: ShardProgress,
        snapshot: SnapshotId,
        now_ms: float,
        instead_of: Attempt | None = None,
    ) -> EndpointView | None:
        """Choose an untried warm replica that is expected to reply in time.

        :param instead_of: attempt whose owner is excluded and whose failure domain is
            avoided if possible.
        """
        choice_context = self._context.choice_context
        choice_context.now_ms = now_ms
        replicas = self._context.view.list_replicas(self._service.name, progress.name)
        usable = find_usable(replicas, snapshot, progress.tried)
        usable = filter_for_further_attempt(usable, len(replicas), now_ms)
        remaining_ms = self._answer_by_ms - now_ms
        usable = [view for view in usable if estimate_reply_time(view, now_ms) < remaining_ms]
        if instead_of is not None:
            usable = [view for view in usable if view.owner_view.name != instead_of.owner.name]
            domain = instead_of.view.endpoint.failure_domain
            other_domain = [view for view in usable if view.endpoint.failure_domain != domain]
            usable = other_domain or usable
        return self._choose(usable, choice_context)

    def choose_untried(
        self,
        progress: ShardProgress,
        snapshot: SnapshotId,
        now_ms: float,
        instead_of: Attempt | None = None,
    ) -> EndpointView | None:
        """Choose an untried replica, preferring warm ones to those that are warming up.

        This is used for placements and retries. If warming replicas were excluded,
        queries would fail when a failure domain is taken out or an owner is lost while
        the remaining replicas warm up. The owner enforces the concurrency limit of a
        warming endpoint.

        :param instead_of: attempt whose owner is excluded.
        """
        warm = self.choose_warm_untried(progress, snapshot, now_ms, instead_of)
        if warm is not None:
            return warm
        choice_context = self._context.choice_context
        replicas = self._context.view.list_replicas(self._service.name, progress.name)
        usable = find_usable(replicas, snapshot, progress.tried)
        remaining_ms = self._answer_by_ms - now_ms
        usable = [view for view in usable if estimate_reply_time(view, now_ms) < remaining_ms]
        if instead_of is not None:
            usable = [view for view in usable if view.owner_view.name != instead_of.owner.name]
        return self._choose(
            filter_for_first_attempt(usable, len(replicas), choice_context), choice_context
        )
