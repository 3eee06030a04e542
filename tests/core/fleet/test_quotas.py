import itertools
import math

import pytest

from persimmonspur.core.fleet.accounts import Account
from persimmonspur.core.fleet.quotas import (
    ASK_INTERVAL_MS,
    MAX_ASK_INTERVAL_MS,
    REPLY_TIMEOUT_MS,
    SHARE_TIMEOUT_MS,
    FleetShare,
    Quotas,
    Verdict,
    compute_account_id,
)

ACCOUNT = Account("a", None, 40.0, 20.0)
ID = compute_account_id("a")


def make(account=ACCOUNT, share=0.25, trickle=0.0, has_peers=True, slack=20.0):
    quotas = Quotas(5_000.0, 0.1, slack, 1)
    quotas.set_accounts([account], 0.0)
    quotas.set_share(FleetShare(share, trickle, has_peers), 0.0)
    return quotas


def run(quotas, until_ms, share=0.25, trickle=0.0):
    """Confirm the share until a time."""
    quotas.set_share(FleetShare(share, trickle, True), until_ms)


def spend(quotas, now_ms, account=ACCOUNT, limit=1_000):
    """Return the number of requests that are admitted at once."""
    for count in range(limit):
        if quotas.decide(account, False, now_ms) is not Verdict.ADMITTED:
            return count
    return limit


def test_bucket_starts_empty_and_fills_at_its_share_up_to_its_part_of_the_burst():
    quotas = make()
    assert spend(quotas, 0.0) == 0
    run(quotas, 300.0)
    assert spend(quotas, 300.0) == 3
    run(quotas, 60_000.0)
    # A quarter of the burst, and of 0.1 s of the rate.
    assert spend(quotas, 60_000.0) == 6


def test_account_without_a_quota_is_always_admitted():
    quotas = make(Account("a"))
    assert spend(quotas, 0.0, Account("a"), 100) == 100
    assert not quotas.active


def test_rate_below_one_request_per_second():
    quotas = make(Account("a", None, 0.5, 1.0), share=1.0)
    account = Account("a", None, 0.5, 1.0)
    admitted = 0
    for now_ms in range(0, 60_000, 100):
        quotas.set_share(FleetShare(1.0, 0.0, False), float(now_ms))
        admitted += spend(quotas, float(now_ms), account)
    assert 28 <= admitted <= 30
    assert quotas.get_retry_after_ms(account, 59_900.0) <= 2_300.0


def test_lower_quota_limits_the_bucket_at_once():
    quotas = make(Account("a", None, 400.0, 400.0))
    run(quotas, 60_000.0)
    quotas.set_accounts([Account("a", None, 4.0, 4.0)], 60_000.0)
    assert spend(quotas, 60_000.0) <= 2
    quotas.set_accounts([], 60_000.0)
    assert not quotas.active


def test_account_that_had_no_quota_keeps_going_until_it_can_have_tokens():
    # Guards against a new quota that rejects everything until its bucket has filled.
    quotas = make(Account("a"), share=0.0)
    quotas.set_accounts([ACCOUNT, Account("new", None, 40.0, 40.0)], 10_000.0)
    assert spend(quotas, 11_999.0, limit=100) == 100
    assert spend(quotas, 12_001.0) == 0
    assert spend(quotas, 11_999.0, Account("new", None, 40.0, 40.0)) == 0


def test_lower_share_limits_the_bucket_at_once():
    # Guards against tokens that add up while the entry set changes.
    quotas = make(Account("a", None, 400.0, 400.0))
    run(quotas, 60_000.0)
    run(quotas, 60_000.0, share=0.0)
    assert spend(quotas, 60_000.0) == 0
    run(quotas, 61_000.0, share=0.0, trickle=0.05)
    run(quotas, 62_000.0, share=0.0, trickle=0.05)
    assert spend(quotas, 62_000.0) == 1


def test_suspension_ends_the_share():
    # Guards against a process that wakes up and spends what others have accrued meanwhile.
    quotas = make(Account("a", None, 400.0, 400.0))
    run(quotas, 60_000.0)
    assert spend(quotas, 60_000.0 + SHARE_TIMEOUT_MS + 1) == 0


def test_only_some_instances_without_a_share_accrue():
    assert make().trickle_holders == 8
    assert make(slack=0.0).trickle_holders == 0


def make_pair():
    asking, giving = make(), make()
    run(giving, 10_000.0)
    run(asking, 10_000.0, share=0.0)
    assert asking.decide(ACCOUNT, True, 10_000.0) is Verdict.WAITING
    return asking, giving


def test_tokens_are_deducted_before_they_are_sent():
    asking, giving = make_pair()
    number, wanted = asking.start_ask(["a"], ["p"], 10_000.0)
    amounts = giving.give(wanted.items(), 10_000.0)
    assert amounts == {ID: 1.0}
    assert giving.count_available(ACCOUNT, 10_000.0) == pytest.approx(5.0)
    asking.receive(number, "p", amounts.items(), 10_005.0)
    assert asking.take_for_waiting(ACCOUNT, 10_005.0)
    assert not asking.take_for_waiting(ACCOUNT, 10_005.0)


@pytest.mark.parametrize(
    ("number_offset", "peer", "delay_ms"),
    [(1, "p", 5.0), (0, "other", 5.0), (0, "p", REPLY_TIMEOUT_MS + 1)],
)
def test_reply_that_is_late_or_was_not_asked_for_is_dropped(number_offset, peer, delay_ms):
    # Guards against tokens that count in a later window, and against forged ones.
    asking, _ = make_pair()
    number, _ = asking.start_ask(["a"], ["p"], 10_000.0)
    asking.receive(number + number_offset, peer, [(ID, 1.0)], 10_000.0 + delay_ms)
    assert asking.count_available(ACCOUNT, 10_000.0 + delay_ms) == 0.0


def test_repeated_reply_is_dropped():
    asking, _ = make_pair()
    number, _ = asking.start_ask(["a"], ["p"], 10_000.0)
    for _ in range(3):
        asking.receive(number, "p", [(ID, 1.0)], 10_005.0)
    assert asking.count_available(ACCOUNT, 10_005.0) == 1.0


@pytest.mark.parametrize("amount", [math.nan, math.inf, -5.0, 0.0])
def test_amounts_that_are_no_positive_number_are_ignored(amount):
    asking, giving = make_pair()
    number, _ = asking.start_ask(["a"], ["p"], 10_000.0)
    asking.receive(number, "p", [(ID, amount), (b"unknown", 1.0)], 10_005.0)
    assert asking.count_available(ACCOUNT, 10_005.0) == 0.0
    assert giving.give([(ID, amount), (b"unknown", 1.0)], 10_000.0) == {}


def test_instance_keeps_what_it_needs_itself():
    giving = make()
    run(giving, 10_000.0)
    for _ in range(4):
        assert giving.decide(ACCOUNT, False, 10_000.0) is Verdict.ADMITTED
    # Demand of 8/s for 150 ms is held back.
    assert giving.give([(ID, 10.0)], 10_000.0)[ID] == pytest.approx(2.0 - 1.2)


def test_request_for_tokens_is_repeated_ever_more_rarely_while_it_brings_nothing():
    # Guards against a hot account that fills the network with requests for tokens.
    asking = make(share=0.0)
    sent = []
    for now_ms in range(0, 20_000, 10):
        run(asking, float(now_ms), share=0.0)
        if asking.decide(ACCOUNT, True, float(now_ms)) is Verdict.WAITING:
            number, wanted = asking.start_ask(["a"], ["p"], float(now_ms))
            if wanted:
                sent.append(now_ms)
                asking.receive(number, "p", [], float(now_ms))
            assert asking.is_hopeless(ACCOUNT, float(now_ms))
            asking.stop_waiting(ACCOUNT, True)
    gaps = [after - before for before, after in itertools.pairwise(sent)]
    assert gaps[0] >= ASK_INTERVAL_MS and gaps[-1] >= MAX_ASK_INTERVAL_MS
    assert len(sent) < 20


def test_without_other_instances_only_tokens_that_accrue_soon_are_waited_for():
    quotas = make(Account("a", None, 10.0, 10.0), share=1.0, has_peers=False)
    account = Account("a", None, 10.0, 10.0)
    assert quotas.decide(account, True, 10.0) is Verdict.REJECTED
    assert quotas.decide(account, True, 80.0) is Verdict.WAITING
    assert not quotas.take_for_waiting(account, 99.0)
    assert quotas.take_for_waiting(account, 100.0)


def test_number_of_waiting_requests_is_bounded():
    # Guards against a hot account whose waiting requests fill the memory.
    asking = make(share=0.0)
    verdicts = [asking.decide(ACCOUNT, True, 0.0) for _ in range(100)]
    assert verdicts.count(Verdict.WAITING) == 4
    assert asking.collect_rejected() == {"a": 96} and asking.collect_rejected() == {}


def test_token_of_a_request_that_was_not_sent_is_returned():
    quotas = make()
    run(quotas, 300.0)
    assert spend(quotas, 300.0) == 3
    quotas.put_back(ACCOUNT, 300.0, 310.0)
    assert spend(quotas, 310.0) == 1
    # Too late: the token would count in another window.
    quotas.put_back(ACCOUNT, 310.0, 790.0)
    assert spend(quotas, 790.0) == 4


def test_request_after_the_advised_time_is_admitted():
    quotas = make(has_peers=False, share=1.0)
    quotas.set_share(FleetShare(1.0, 0.0, False), 60_000.0)
    now_ms = 60_000.0
    spend(quotas, now_ms)
    for _ in range(10):
        delay_ms = quotas.get_retry_after_ms(ACCOUNT, now_ms)
        assert 10.0 <= delay_ms <= 40.0
        now_ms += delay_ms
        quotas.set_share(FleetShare(1.0, 0.0, False), now_ms)
        assert quotas.decide(ACCOUNT, False, now_ms) is Verdict.ADMITTED
        spend(quotas, now_ms)
