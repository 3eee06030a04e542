"""Chooses the replicas of one query's sub-requests."""

from persimmonspur.core.requests.context import CoordinationContext
from persimmonspur.core.requests.progress import Attempt, ShardProgress
from persimmonspur.core.routing.choice import (
    CHOICE_POLICIES,
    estimate_reply_time,
    filter_for_first_attempt,
    filter_for_redirect,
    find_usable,
)
from persimmonspur.core.routing.view import EndpointView
from persimmonspur.model.configuration import Service
from persimmonspur.model.query import SnapshotId


class ReplicaChoice:
    """Applies the choice policy to the replicas that may get a sub-request."""

    def __init__(self, context: CoordinationContext, service: Service, answer_by_ms: float) -> None:
        """Prepare the choices of a query.

        :param answer_by_ms: when the query is answered at the latest.
        """
        self._context = context
        self._service = service
        self._answer_by_ms = answer_by_ms
        self._choose = CHOICE_POLICIES.get(context.policy)

    def list_usable(self, shard: str, snapshot: SnapshotId) -> list[EndpointView]:
        """Return the replicas of a shard that can serve a snapshot now."""
        replicas = self._context.view.list_replicas(self._service.name, shard)
        return find_usable(replicas, snapshot, ())

    def choose_first(self, shard: str, usable: list[EndpointView]) -> EndpointView | None:
        """Choose among the usable replicas of a shard for a first sub-request."""
        choice = self._context.choice
        for view in usable:
            if not view.warm or view.ejected_until_ms > choice.now_ms:
                break
        else:
            return self._choose(usable, choice)
        replicas = len(self._context.view.list_replicas(self._service.name, shard))
        return self._choose(filter_for_first_attempt(usable, replicas, choice), choice)

    def choose_warm_untried(
        self,
        progress: ShardProgress,
        snapshot: SnapshotId,
        now_ms: float,
        instead_of: Attempt | None = None,
    ) -> EndpointView | None:
        """Choose an untried warm replica that can answer in time.

        :param instead_of: choose another owner than this attempt's, and another failure
            domain if possible.
        """
        choice = self._context.choice
        choice.now_ms = now_ms
        replicas = self._context.view.list_replicas(self._service.name, progress.name)
        usable = find_usable(replicas, snapshot, progress.tried)
        usable = filter_for_redirect(usable, len(replicas), now_ms)
        remaining_ms = self._answer_by_ms - now_ms
        usable = [view for view in usable if estimate_reply_time(view, now_ms) < remaining_ms]
        if instead_of is not None:
            usable = [view for view in usable if view.owner_view.name != instead_of.owner.name]
            domain = instead_of.view.endpoint.failure_domain
            other_domain = [view for view in usable if view.endpoint.failure_domain != domain]
            usable = other_domain or usable
        return self._choose(usable, choice)

    def choose_untried(
        self,
        progress: ShardProgress,
        snapshot: SnapshotId,
        now_ms: float,
        instead_of: Attempt | None = None,
    ) -> EndpointView | None:
        """Choose an untried replica, a warming one if no warm one is left.

        For sub-requests that did not run, and for retries: otherwise a failure
        domain that goes out, or an owner that is lost, while other replicas warm
        up costs answers. The owner keeps a warming endpoint within its limit.

        :param instead_of: choose another owner than this attempt's.
        """
        warm = self.choose_warm_untried(progress, snapshot, now_ms, instead_of)
        if warm is not None:
            return warm
        choice = self._context.choice
        replicas = self._context.view.list_replicas(self._service.name, progress.name)
        usable = find_usable(replicas, snapshot, progress.tried)
        remaining_ms = self._answer_by_ms - now_ms
        usable = [view for view in usable if estimate_reply_time(view, now_ms) < remaining_ms]
        if instead_of is not None:
            usable = [view for view in usable if view.owner_view.name != instead_of.owner.name]
        return self._choose(filter_for_first_attempt(usable, len(replicas), choice), choice)
