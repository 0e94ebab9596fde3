"""Randomised runs of the quota protocol: owners of services, the store, and workers.

Each start is checked against the highest limit in force. At the end the faults end,
and each service must get what it needs.
"""

from hypothesis import HealthCheck, seed, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from properties.seeds import SEED
from standins.quota_site import STEP_S, QuotaSite, make_accounts

SERVICES = ("s1", "s2", "s3")
ACCOUNTS = ("north", "south")
LIMITS = (0, 8, 16, 32)
AMOUNTS = (1, 3, 7, 20)
# Steps in which all services get their needs after the last fault. The longest chain is
# three services that each run a task beyond the limit, one after the other.
RECOVERY_STEPS_COUNT = 60

services = st.sampled_from(SERVICES)
accounts = st.sampled_from(ACCOUNTS)
owners = st.integers(0, 5)
answers = st.sampled_from(("stored", "stored", "stored", "lost", "late"))


class QuotaProtocol(RuleBasedStateMachine):
    @initialize(limit=st.sampled_from(LIMITS))
    def begin(self, limit):
        self.site = QuotaSite(SERVICES, make_accounts(north=limit, south=16))
        self.former = []
        self.site.run_steps(2)

    def owner(self, number):
        """Returns an owner, or for high numbers a process that was replaced."""
        if number < len(SERVICES) or not self.former:
            return self.site.owners[SERVICES[number % len(SERVICES)]]
        return self.former[number % len(self.former)]

    @rule(
        service=services,
        account=accounts,
        amount=st.sampled_from(AMOUNTS),
        count=st.integers(1, 12),
    )
    def submit(self, service, account, amount, count):
        waiting = self.site.owners[service].waiting.setdefault(account, [])
        waiting.extend([amount] * count)

    @rule(answer=answers)
    def run_all(self, answer):
        self.site.run_steps(1, answer)

    @rule(service=services, account=accounts)
    def move_demand(self, service, account):
        """All runs of the account end, and one service floods."""
        self.site.end_runs(account=account)
        for owner in self.site.owners.values():
            owner.waiting.pop(account, None)
        self.site.owners[service].waiting[account] = [1] * 40
        self.site.run_steps(2)

    @rule(number=owners)
    def decide(self, number):
        """Starts are decided, and stored late."""
        self.owner(number).decide_waiting()

    @rule(number=owners)
    def commit(self, number):
        self.owner(number).commit()

    @rule(number=owners, answer=answers)
    def send(self, number, answer):
        """A write without anything else, by what the owner knew before."""
        self.site.now_s += STEP_S
        owner = self.owner(number)
        if owner.is_connected:
            owner.send(answer)

    @rule(number=owners)
    def read(self, number):
        if self.owner(number).is_connected:
            self.owner(number).read()

    @rule()
    def apply_late(self):
        """Writes without an answer are applied late."""
        self.site.store.apply_late()

    @rule(service=services, account=accounts)
    def end_runs(self, service, account):
        """Runs end, or their worker starts again; the owner isn't told yet."""
        self.site.end_runs(service, account)

    @rule(number=owners)
    def learn_ends(self, number):
        """A silent worker is heard of again."""
        if self.owner(number).is_connected:
            self.owner(number).learn_ends()

    @rule(number=owners)
    def cut_off(self, number):
        self.owner(number).is_connected = False

    @rule(number=owners)
    def connect(self, number):
        """A process that was cut off or paused goes on with the new configuration."""
        owner = self.owner(number)
        owner.is_connected = True
        owner.apply_configuration()

    @rule(service=services)
    def take_over(self, service):
        """The former owner isn't told, and goes on."""
        self.former.append(self.site.owners[service])
        waiting = self.former[-1].waiting
        owner = self.site.take_over(service)
        owner.waiting = {name: list(amounts) for name, amounts in waiting.items()}

    @rule()
    def lose_all(self):
        """All owners are lost with their decided starts and writes in flight."""
        for service in SERVICES:
            waiting = self.site.owners[service].waiting
            self.site.take_over(service).waiting = waiting
        self.former.clear()

    @rule(limit=st.sampled_from(LIMITS), number=owners)
    def change_limit(self, limit, number):
        self.configure(number, north=limit, south=16)

    @rule(number=owners)
    def remove_account(self, number):
        self.configure(number, south=16)

    def configure(self, number, **limits):
        """One owner applies the configuration at once, the others with a step."""
        self.site.configure(**limits)
        if self.owner(number).is_connected:
            self.owner(number).apply_configuration()

    @rule()
    def pass_lease_time(self):
        """Entries are kept while their service is configured."""
        self.site.now_s += 30.0

    def teardown(self):
        """Guards against grants that are lost for ever, or stay where they are unused.

        Runs end in each step, and one task waits in each service.
        """
        if not hasattr(self, "site"):
            return
        self.site.store.apply_late()
        for owner in self.site.owners.values():
            owner.is_connected = True
            owner.waiting = {name: [3] for name in ACCOUNTS}
        for _ in range(RECOVERY_STEPS_COUNT):
            self.site.run_steps(1)
            self.site.end_runs()
        waiting = {name: owner.waiting for name, owner in self.site.owners.items()}
        assert not any(any(each.values()) for each in waiting.values()), waiting
        self._check_flood()

    def _check_flood(self):
        """One service gets at least half of each limit while the others are idle."""
        owner = self.site.owners["s2"]
        owner.waiting = {name: [1] * 40 for name in ACCOUNTS}
        self.site.run_steps(4)
        for name in ACCOUNTS:
            limit = self.site.highest_limit(name)
            assert self.site.used(name) >= (limit / 2 if limit else 40), name


TestQuotaProtocol = seed(SEED)(QuotaProtocol).TestCase
TestQuotaProtocol.settings = settings(
    max_examples=120,
    stateful_step_count=40,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
