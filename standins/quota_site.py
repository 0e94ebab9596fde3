"""Owners of services with quota ledgers, the store of their rows, and their runs.

Each start is checked against the highest limit that may be in force.
"""

from sycamorecroft.quotas.ledger import QuotaLedger
from sycamorecroft.quotas.messages import QuotaWriteResult
from sycamorecroft.quotas.rows import QUOTAS_PART, QUOTAS_TABLE
from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.model import ClientAccount, Resources, StepSpec
from sycamorecroft.scheduling.rows import encode_row
from sycamorecroft.store.interfaces import Row

STEP_S = 0.25
POOL_CAPACITY = Resources(1000, 1000, 0)


def make_demand(amount):
    return Resources(amount, 1, 0)


def make_accounts(**limits):
    """
    :param limits: limit of the processors by account, 0 for none.
    """
    return {
        name: ClientAccount(name, frozenset(), 1.0, 0, Resources(limit, 0, 0))
        for name, limit in limits.items()
    }


class Run:
    """A stored run; it counts at its owner until its end is known there."""

    def __init__(self, service, account, amount):
        self.service, self.account, self.amount = service, account, amount
        self.spec = StepSpec(1, make_demand(amount), estimate_ms=800)
        self.has_ended = False


class QuotaStore:
    """Rows that are written on condition of their versions."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.late = []
        self.writes_count = 0

    def read(self):
        return list(self.rows.values())

    def row(self, account):
        absent = Row(QUOTAS_TABLE, account, None, 0, QUOTAS_PART)
        return self.rows.get(account, absent)

    def apply(self, write):
        rows = [self.row(change.account) for change in write.changes]
        expected = [change.expected_version or 0 for change in write.changes]
        if [row.version for row in rows] != expected:
            return QuotaWriteResult(write, False, None, tuple(rows))
        self.version += 1
        self.writes_count += 1
        for change, row in zip(write.changes, rows, strict=True):
            value = encode_row(change.row)
            self.rows[change.account] = row._replace(value=value, version=self.version)
        return QuotaWriteResult(write, True, self.version)

    def apply_late(self):
        late, self.late = self.late, []
        for write in late:
            self.apply(write)


class Owner:
    """A process that owns a service, or did."""

    def __init__(self, site, service, epoch):
        self.site, self.service, self.epoch = site, service, epoch
        self.usage = AccountUsage()
        self.ledger = QuotaLedger(service, epoch, self.usage)
        self.version = 0
        self.write = None
        self.waiting = {}
        self.known = set()
        self.decided = []
        self.is_connected = True
        for run in site.runs:
            if run.service == service and not run.has_ended:
                self.add(run)

    def add(self, run):
        self.known.add(run)
        self.usage.add(run.account, run.spec)

    def learn_ends(self):
        """Gets to know which of its runs have ended."""
        for run in [run for run in self.known if run.has_ended]:
            self.known.remove(run)
            self.usage.remove(run.account, run.spec)

    def apply_configuration(self):
        site = self.site
        self.version = len(site.configurations)
        accounts = site.configurations[-1]
        services = frozenset(site.services)
        self.ledger.apply_accounts(accounts, self.version, services, site.now_s)

    def read(self):
        self.ledger.apply_rows(self.site.store.read(), self.site.now_s)

    def needs(self):
        needs = {name: self.usage.used(name) for name in self.usage.accounts()}
        for account, amounts in self.waiting.items():
            waiting = Resources(sum(amounts), len(amounts), 0)
            needs[account] = needs.get(account, Resources()).plus(waiting)
        return {name: need for name, need in needs.items() if any(need)}

    def send(self, answer="stored"):
        """Sends the write in flight, or the next one.

        :param answer: "stored", "lost" if the store applies it and its answer is lost,
            or "late" if the store applies it later.
        """
        if self.write is None:
            self.write = self.ledger.next_write(
                self.needs(), POOL_CAPACITY, self.site.now_s
            )
        if self.write is None or not self.is_connected:
            return
        if answer == "late":
            self.site.store.late.append(self.write)
            return
        result = self.site.store.apply(self.write)
        if answer == "stored":
            self.write = None
            self.ledger.apply_result(result, self.site.now_s)

    def decide(self, account, amount):
        """
        :returns: whether a start was decided, which isn't stored yet.
        """
        if not self.ledger.allows(account, make_demand(amount)):
            return False
        run = Run(self.service, account, amount)
        self.add(run)
        self.decided.append(run)
        return True

    def decide_waiting(self):
        """Decides starts of all waiting tasks that are allowed."""
        for account, amounts in self.waiting.items():
            amounts[:] = [n for n in amounts if not self.decide(account, n)]

    def commit(self):
        """Stores the decided starts, unless another owner has taken over."""
        if not self.is_connected:
            return
        decided, self.decided = self.decided, []
        for run in decided:
            if self.site.epochs[self.service] == self.epoch:
                self.site.start(run)
            else:
                run.has_ended = True

    def step(self, answer="stored"):
        """Does everything that a connected owner does within a step."""
        if self.is_connected:
            self.apply_configuration()
            self.read()
            self.learn_ends()
        self.decide_waiting()
        self.send(answer)
        self.decide_waiting()
        self.commit()


class QuotaSite:
    """Services with one owner each.

    :ivar starts: stored starts of accounts, in order.
    """

    def __init__(self, services, accounts):
        self.services = list(services)
        self.configurations = [accounts]
        self.now_s = 0.0
        self.store = QuotaStore()
        self.runs = []
        self.epochs = dict.fromkeys(services, 0)
        self.owners = {}
        for service in services:
            self.take_over(service)

    def take_over(self, service):
        """
        :returns: the new owner; the former one isn't told.
        """
        self.epochs[service] += 1
        owner = Owner(self, service, self.epochs[service])
        owner.apply_configuration()
        owner.read()
        self.owners[service] = owner
        return owner

    def configure(self, **limits):
        self.configurations.append(make_accounts(**limits))

    def run_steps(self, count, answer="stored"):
        for _ in range(count):
            self.now_s += STEP_S
            for owner in self.owners.values():
                owner.step(answer)

    def used(self, account):
        return sum(
            run.amount
            for run in self.runs
            if run.account == account and not run.has_ended
        )

    def start(self, run):
        """Stores a start and checks the limit."""
        self.runs.append(run)
        used = self.used(run.account)
        limit = self.highest_limit(run.account)
        assert not limit or used <= limit or used == run.amount, (
            f"{run.account} runs {used} of {limit}, {run.amount} of it just started "
            f"by {run.service}"
        )

    def highest_limit(self, account):
        """
        :returns: highest limit that may be in force at a connected owner, 0 for none.
        """
        versions = [o.version for o in self.owners.values() if o.is_connected]
        limits = [
            accounts[account].limit.cpu_millicores if account in accounts else 0
            for accounts in self.configurations[min(versions) - 1 :]
        ]
        return 0 if 0 in limits else max(limits)

    def end_runs(self, service=None, account=None):
        """Ends the runs, which their owners get to know later."""
        for run in self.runs:
            if service in (None, run.service) and account in (None, run.account):
                run.has_ended = True
        self.runs = [run for run in self.runs if not run.has_ended]
