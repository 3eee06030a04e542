import hashlib

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from persimmonspur.core.fleet.accounts import (
    NO_ACCOUNTS,
    Account,
    SharedKey,
    build_directory,
    choose_priority,
)


def test_key_finds_its_account():
    directory = build_directory([(Account("a"), ["k1", "k2"]), (Account("b"), ["k3"])])
    assert [directory.find(key).name for key in (b"k1", b"k2", b"k3")] == ["a", "a", "b"]
    assert directory.find(b"k") is None and directory.find(b"") is None
    assert directory.find(hashlib.sha256(b"k1").digest()) is None


def test_key_of_two_accounts_belongs_to_the_first():
    # Guards against an account that depends on the order in which keys are looked up.
    directory = build_directory([(Account("a"), ["k", "k"]), (Account("b"), ["k", "own"])])
    assert directory.find(b"k").name == "a" and directory.find(b"own").name == "b"
    assert directory.shared_keys == (SharedKey("a", "b"),)


def test_account_that_is_listed_twice_keeps_the_keys_of_both():
    directory = build_directory([(Account("a", 1), ["k1"]), (Account("a", 2), ["k2"])])
    assert directory.find(b"k1") == directory.find(b"k2") == Account("a", 1)


def test_empty_key_is_no_key():
    # Guards against requests without a key that count as those of an account.
    assert build_directory([(Account("a"), [""])]).find(b"") is None


def test_key_that_is_no_valid_text_is_accepted():
    assert build_directory([(Account("a"), ["\ud800"])]).active


def test_priority_of_the_account_replaces_that_of_the_route():
    assert choose_priority(Account("a", 0), 3) == 0
    assert choose_priority(Account("a"), 3) == 3
    assert choose_priority(None, 3) == 3


def test_configuration_without_accounts_is_not_active():
    assert not NO_ACCOUNTS.active and not build_directory([]).active


@given(st.lists(st.text(min_size=8, max_size=20), min_size=1))
def test_directory_contains_no_key(keys):
    # Guards against keys in messages to peers, in logs and in memory.
    directory = build_directory([(Account("a"), keys)])
    data = msgspec.msgpack.encode(directory)
    for key in keys:
        assert key.encode("utf-8", "surrogatepass") not in data
        assert key not in repr(directory)
