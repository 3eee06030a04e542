"""Checks of client accounts. Findings never contain an API key."""

from collections.abc import Iterator

from persimmonspur.platform.configcheck.findings import CHECKS, Checked, Finding, describe


@CHECKS.register("names and quotas of accounts")
def check_accounts(checked: Checked) -> Iterator[Finding]:
    """Check that accounts have different names, fit for a header, and usable quotas."""
    first: dict[str, int] = {}
    for index, tenant in enumerate(checked.tenants or ()):
        path = f"tenants[{index}]"
        known = first.setdefault(tenant.name, index)
        if known != index:
            yield describe(f"{path}.name", tenant.name, f"not the name of tenants[{known}]")
        if not _is_sendable(tenant.name):
            yield describe(f"{path}.name", repr(tenant.name), "printable Latin-1 without spaces")
        if tenant.rate_per_s < 0:
            yield describe(f"{path}.rate_per_s", tenant.rate_per_s, "0 (no quota) or more")
        if tenant.burst < 0:
            yield describe(f"{path}.burst", tenant.burst, "0 or more")
        elif tenant.rate_per_s > 0 and tenant.burst == 0:
            allowed = "above 0 with a rate_per_s, or there is no room for saved requests"
            yield describe(f"{path}.burst", tenant.burst, allowed, is_error=False)
        if tenant.priority is not None and tenant.priority < 0:
            yield describe(f"{path}.priority", tenant.priority, "0 or more")


@CHECKS.register("API keys")
def check_keys(checked: Checked) -> Iterator[Finding]:
    """Check that each API key belongs to one account and can be sent in a header."""
    first: dict[str, str] = {}
    for index, tenant in enumerate(checked.tenants or ()):
        if not tenant.api_keys:
            allowed = "at least one key, or no request is of this account"
            yield describe(f"tenants[{index}].api_keys", "none", allowed, is_error=False)
        for number, key in enumerate(tenant.api_keys):
            path = f"tenants[{index}].api_keys[{number}]"
            if not _is_sendable(key):
                yield describe(path, "this key", "printable Latin-1 without spaces, not empty")
            known = first.setdefault(key, path)
            if known != path:
                yield describe(path, "this key", f"not the key at {known}")


def _is_sendable(text: str) -> bool:
    """Return whether a text can be sent as one word of a header's value."""
    return bool(text) and all(
        "!" <= character <= "~" or "\xa1" <= character <= "\xff" for character in text
    )
