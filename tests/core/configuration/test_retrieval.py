from random import Random

from persimmonspur.core.configuration.holder import ConfigurationHolder
from persimmonspur.core.configuration.parts import ConfigurationRoot, split_configuration
from persimmonspur.core.configuration.retrieval import (
    REPLY_TIMEOUT_MS,
    FetchPartsFrom,
    FetchRootFrom,
    Retrieval,
)
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration

SPLIT = split_configuration(build_configuration(DEPLOYMENTS["ulaanbaatar"]))
ROOT = ConfigurationRoot(3, "a", SPLIT.references)
AFTER_TIMEOUT_MS = REPLY_TIMEOUT_MS * 2


def start():
    holder = ConfigurationHolder()
    return holder, Retrieval(holder, Random(1))


def complete(holder):
    for digest, value in SPLIT.values.items():
        holder.offer_part(digest, value)
    holder.activate_pending()


def test_a_newer_version_is_fetched_root_first_then_parts():
    holder, retrieval = start()
    (action,) = retrieval.observe_version("b", 3, 0.0)
    assert action == FetchRootFrom("b", 0)
    holder.offer_root(ROOT)
    (action,) = retrieval.observe_reply("b", True, 5.0)
    assert action == FetchPartsFrom("b", holder.list_missing_digests())
    complete(holder)
    assert retrieval.observe_reply("b", True, 10.0) == []
    assert retrieval.tick(AFTER_TIMEOUT_MS) == []


def test_one_request_at_a_time():
    _, retrieval = start()
    assert len(retrieval.observe_version("b", 3, 0.0)) == 1
    assert retrieval.observe_version("c", 3, 1.0) == []


def test_after_a_lost_reply_another_peer_is_asked():
    _, retrieval = start()
    (first,) = retrieval.observe_version("b", 3, 0.0)
    retrieval.observe_version("c", 3, 1.0)
    (second,) = retrieval.tick(AFTER_TIMEOUT_MS)
    assert (first.peer, second.peer) == ("b", "c")


def test_a_single_silent_peer_is_asked_again_after_its_next_message():
    _, retrieval = start()
    retrieval.observe_version("b", 3, 0.0)
    assert retrieval.tick(AFTER_TIMEOUT_MS) == []
    assert len(retrieval.observe_version("b", 3, AFTER_TIMEOUT_MS + 1)) == 1


def test_a_silent_peer_with_a_higher_version_does_not_block_the_others():
    holder, retrieval = start()
    holder.offer_root(ROOT)
    retrieval.observe_version("b", 4, 0.0)
    retrieval.observe_version("c", 3, 1.0)
    (action,) = retrieval.tick(AFTER_TIMEOUT_MS)
    assert action == FetchPartsFrom("c", holder.list_missing_digests())


def test_after_a_useless_reply_the_next_request_is_delayed():
    _, retrieval = start()
    retrieval.observe_version("b", 3, 0.0)
    assert retrieval.observe_reply("b", False, 1.0) == []
    assert retrieval.observe_version("b", 3, 2.0) == []
    assert len(retrieval.observe_version("b", 3, AFTER_TIMEOUT_MS)) == 1


def test_a_lower_version_is_not_fetched():
    holder, retrieval = start()
    holder.offer_root(ROOT)
    complete(holder)
    assert retrieval.observe_version("b", 2, 0.0) == []
    assert retrieval.observe_version("c", 3, 0.0) == []
