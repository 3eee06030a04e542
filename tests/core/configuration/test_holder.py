from attrs import evolve

from persimmonspur.core.configuration.holder import ConfigurationHolder
from persimmonspur.core.configuration.parts import (
    ConfigurationRoot,
    PartReference,
    compute_digest,
    split_configuration,
)
from persimmonspur.errors import ErrorKind
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration

FIRST = build_configuration(DEPLOYMENTS["ulaanbaatar"])
SECOND = evolve(FIRST, terminated=frozenset({"entry-1"}))


def make_version(version, configuration):
    split = split_configuration(configuration)
    return ConfigurationRoot(version, f"a{version}", split.references), split.values


def install(holder, version, configuration):
    root, values = make_version(version, configuration)
    holder.offer_root(root)
    for digest in holder.list_missing_digests():
        holder.offer_part(digest, values[digest])
    return holder.activate_pending()


def test_a_lower_version_is_refused():
    holder = ConfigurationHolder()
    install(holder, 5, SECOND)
    install(holder, 4, FIRST)
    assert (holder.version, holder.configuration) == (5, SECOND)


def test_a_pending_version_is_not_replaced_by_a_lower_one():
    holder = ConfigurationHolder()
    assert holder.offer_root(make_version(6, SECOND)[0])
    assert not holder.offer_root(make_version(5, FIRST)[0])
    assert holder.pending_version == 6


def test_nothing_takes_effect_before_every_part_is_here():
    holder = ConfigurationHolder()
    install(holder, 1, FIRST)
    root, values = make_version(2, SECOND)
    assert holder.offer_root(root)
    assert holder.activate_pending().ok is None
    assert (holder.version, holder.configuration) == (1, FIRST)
    (missing,) = holder.list_missing_digests()
    assert holder.offer_part(missing, values[missing])
    assert holder.activate_pending().ok == SECOND
    assert holder.version == 2


def test_a_part_with_another_digest_is_rejected():
    holder = ConfigurationHolder()
    root, values = make_version(1, FIRST)
    holder.offer_root(root)
    digest = holder.list_missing_digests()[0]
    assert not holder.offer_part(digest, values[digest] + b" ")
    assert digest in holder.list_missing_digests()


def test_parts_that_form_no_valid_configuration_are_fetched_once():
    # Otherwise an instance would fetch the invalid version again and again.
    holder = ConfigurationHolder()
    install(holder, 1, FIRST)
    value = b'[{"type":"shard_map","epoch":1}]'
    digest = compute_digest(value)
    root = ConfigurationRoot(2, "b", (PartReference("x", digest),))
    holder.offer_root(root)
    holder.offer_part(digest, value)
    assert holder.activate_pending().error.kind is ErrorKind.INVALID_CONFIGURATION
    assert (holder.version, holder.configuration) == (1, FIRST)
    assert not holder.offer_root(root)
    assert install(holder, 3, SECOND).ok == SECOND
