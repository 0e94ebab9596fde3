"""Property: an account within its rate is never refused, whatever others send."""

from hypothesis import given, strategies as st

from sycamorecroft.scheduling.account_rates import AccountRates, Submission
from sycamorecroft.scheduling.admission_report import (
    ARRIVAL_WINDOW_S,
    Arrival,
    excess_shares,
)
from sycamorecroft.scheduling.model import ClientAccount, Resources

WEIGHTS = {"north": 3.0, "south": 0.5}


@given(st.lists(st.tuples(st.sampled_from("ns"), st.integers(0, 400)), max_size=200))
def test_no_more_than_the_excess_is_refused(sent):
    """Guards against a share that is higher than the part of the jobs that the account
    rate judges to be excess, and one of an account none of whose jobs are.
    """
    accounts = {
        name: ClientAccount(name, frozenset(), weight, 0, Resources())
        for name, weight in WEIGHTS.items()
    }
    rates = AccountRates()
    rates.apply_accounts(accounts)
    arrivals, at_ms = [], 0
    for number, (initial, gap_ms) in enumerate(sent):
        at_ms += gap_ms
        account = "north" if initial == "n" else "south"
        submission = Submission(number, f"job{number}", account, at_ms)
        is_excess = rates.take(submission, at_ms)
        arrivals.append(Arrival(at_ms / 1000, account, 0, is_excess, (), 1.0, 1.0))
    recent = [a for a in arrivals if at_ms / 1000 - a.at_s <= ARRIVAL_WINDOW_S]
    shares = excess_shares(recent, WEIGHTS)
    for name in WEIGHTS:
        judged = [a.is_excess for a in recent if a.account == name]
        assert shares.get(name, 0.0) * len(judged) <= sum(judged) + 1e-6
