"""Client accounts of one configuration version, and the lookup of accounts by API key.

Only digests of keys are kept, so neither the state that peers copy nor a log line can reveal
a key.
"""

import hashlib
from collections.abc import Iterable

from attrs import field, frozen


@frozen
class Account:
    """One client account.

    :param priority: replaces the priority of the route; ``None`` keeps it.
    :param rate_per_s: requests per second over all instances; 0 is unlimited.
    :param burst: requests beyond the rate that may run at once, over all instances.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@frozen
class SharedKey:
    """An API key that two accounts have; it belongs to the one that is listed first.

    :param owner: name of the account that the key belongs to.
    :param other: name of the account for which the key is ignored.
    """

    owner: str
    other: str


@frozen
class AccountDirectory:
    """The client accounts of one configuration version.

    Without accounts, requests need no key and their headers are passed on unchanged.

    :param accounts: accounts by name.
    :param owners: names of accounts by the digest of each of their keys.
    :param shared_keys: keys that several accounts have.
    """

    accounts: dict[str, Account] = field(factory=dict)
    owners: dict[bytes, str] = field(factory=dict, repr=False)
    shared_keys: tuple[SharedKey, ...] = ()

    @property
    def active(self) -> bool:
        """Whether the configuration has client accounts."""
        return bool(self.accounts)

    def find(self, key: bytes) -> Account | None:
        """Return the account of an API key, or ``None`` if the key is unknown.

        Keys are compared by digest, so the time that this takes reveals nothing about them.
        """
        name = self.owners.get(compute_key_digest(key))
        return self.accounts[name] if name is not None else None


NO_ACCOUNTS = AccountDirectory()


def compute_key_digest(key: bytes) -> bytes:
    """Return the digest under which a key is stored."""
    return hashlib.sha256(key).digest()


def build_directory(listed: Iterable[tuple[Account, Iterable[str]]]) -> AccountDirectory:
    """Build a directory from accounts and their keys, in the order of the configuration.

    A key of several accounts belongs to the first of them. Of several accounts with one name,
    the first counts, with the keys of all. Empty keys are ignored.
    """
    accounts: dict[str, Account] = {}
    owners: dict[bytes, str] = {}
    shared_keys = []
    for account, keys in listed:
        accounts.setdefault(account.name, account)
        for key in keys:
            if not key:
                continue
            owner = owners.setdefault(compute_key_digest(_encode_key(key)), account.name)
            if owner != account.name:
                shared_keys.append(SharedKey(owner, account.name))
    return AccountDirectory(accounts, owners, tuple(shared_keys))


def choose_priority(account: Account | None, route_priority: int) -> int:
    """Return the priority of a request: its account's if it has one, or else its route's."""
    if account is None or account.priority is None:
        return route_priority
    return account.priority


def _encode_key(key: str) -> bytes:
    # A lone surrogate, which JSON allows, must not make the whole configuration unreadable.
    return key.encode("utf-8", "surrogatepass")
