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
LIMITS = (8, 16, 32, 0)
AMOUNTS = (1, 1, 3, 20)
# Steps in which all services get their needs after the last fault. The longest chain is
# three services that each run a task beyond the limit, one after the other.
RECOVERY_STEPS_COUNT = 60

services = st.sampled_from(SERVICES)
accounts = st.sampled_from(("north", "north", "north", "south"))
sometimes = st.sampled_from((False, False, True))
owners = st.integers(0, 3)
answers = st.sampled_from(("stored", "stored", "stored", "lost", "late"))


class QuotaProtocol(RuleBasedStateMachine):
    @initialize(limit=st.sampled_from(LIMITS))
    def begin(self, limit):
        self.site = QuotaSite(SERVICES, make_accounts(north=limit, south=16))
        self.former = []
        self.site.run_steps(2)

    def owner(self, number):
        """Returns an owner, or for high numbers the process replaced last."""
        if number < len(SERVICES) or not self.former:
            return self.site.owners[SERVICES[number % len(SERVICES)]]
        return self.former[-1]

    @rule(
        service=services,
        account=accounts,
        amount=st.sampled_from(AMOUNTS),
        count=st.integers(1, 20),
    )
    def submit(self, service, account, amount, count):
        self.site.owners[service].waiting.setdefault(account, []).extend(
            [amount] * count
        )

    @rule()
    def run_all(self):
        self.site.run_steps(2)

    @rule(
        number=owners,
        reads=sometimes,
        applies=sometimes,
        decides=st.booleans(),
        commits=st.booleans(),
        answer=answers,
    )
    def run_one(self, number, reads, applies, decides, commits, answer):
        """An owner does a part of a step, by what it knew before."""
        owner = self.owner(number)
        self.site.now_s += STEP_S
        if owner.is_connected and applies:
            owner.apply_configuration()
        if owner.is_connected and reads:
            owner.read()
        if decides:
            owner.decide_waiting()
        owner.send(answer)
        if commits:
            owner.commit()

    @rule(first=owners, second=owners, answer=answers)
    def send_both(self, first, second, answer):
        """Two owners write and start without having read the write of the other."""
        for number in (first, second):
            self.run_one(number, False, False, True, True, answer)
        for number in (first, second):
            self.run_one(number, False, False, True, True, "stored")

    @rule(service=services, account=accounts, first=owners, count=st.integers(1, 6))
    def move_demand(self, service, account, first, count):
        """Runs of the account end, and one service floods; owners step in turn."""
        self.site.end_runs(account=account)
        for owner in self.site.owners.values():
            owner.waiting.pop(account, None)
            owner.learn_ends()
        self.site.owners[service].waiting[account] = [1] * 40
        for number in range(first, first + count):
            self.run_one(number % len(SERVICES), True, False, True, True, "stored")

    @rule(service=services, account=accounts, learns=st.booleans())
    def end_runs(self, service, account, learns):
        """Runs end, or their worker starts again.

        A silent worker tells its owner of it later.
        """
        self.site.end_runs(service, account)
        if learns and self.site.owners[service].is_connected:
            self.site.owners[service].learn_ends()

    @rule()
    def apply_late(self):
        """Writes without an answer are applied late."""
        self.site.store.apply_late()

    @rule(number=owners, connects=st.booleans())
    def cut_off(self, number, connects):
        """A process is cut off or paused, or goes on by the new configuration."""
        owner = self.owner(number)
        owner.is_connected = connects
        if connects:
            owner.apply_configuration()

    @rule(service=services, rewrites=st.booleans(), answer=answers)
    def take_over(self, service, rewrites, answer):
        """The former owner isn't told, and goes on; its write may be applied late."""
        former = self.site.owners[service]
        former.send("late")
        self.former.append(former)
        owner = self.site.take_over(service)
        owner.waiting = {name: list(left) for name, left in former.waiting.items()}
        if rewrites:
            self.run_one(SERVICES.index(service), False, False, True, True, answer)

    @rule(service=services, other=services, later=st.booleans(), goes_on=st.booleans())
    def take_over_before_lowering(self, service, other, later, goes_on):
        """A former owner's lower grant is stored after the next owner has started.

        The other service takes what was given up. The former owner may write again.
        """
        site = self.site
        site.end_runs(account="north")
        for name in {service, other}:
            owner = site.owners[name]
            owner.is_connected = True
            owner.learn_ends()
            owner.waiting = {"north": [1] * 40} if name == other else {}
            owner.read()
            owner.send("stored" if name == other else "late")
            owner.read()
        former = site.owners[service]
        former.send("late")
        self.former.append(former)
        owner = site.take_over(service)
        owner.waiting = {"north": [1] * 40}
        if later:
            owner.send()
        if goes_on:
            for _ in range(2):
                site.now_s += STEP_S
                former.read()
                former.send()
        owner.decide_waiting()
        owner.commit()
        site.store.apply_late()
        for _ in range(2):
            self.run_one(SERVICES.index(other), True, False, True, True, "stored")

    @rule(service=services, other=services, skips=st.booleans())
    def raise_limit_and_lower_it(self, service, other, skips):
        """The other service gets a higher grant between two versions of the limit."""
        site = self.site
        first, second = site.owners[other], site.owners[service]
        site.end_runs(account="north")
        site.configure(north=16, south=16)
        for owner in site.owners.values():
            owner.is_connected = True
            owner.waiting.pop("north", None)
        second.waiting["north"] = [1]
        site.run_steps(2)
        site.end_runs(account="north")
        second.learn_ends()
        site.configure(north=64, south=16)
        first.waiting["north"] = [1] * 60
        for _ in range(2):
            site.now_s += STEP_S
            first.step()
        if not skips:
            second.apply_configuration()
        site.configure(north=16, south=16)
        for owner in site.owners.values():
            owner.apply_configuration()
        second.waiting["north"] = [1] * 40
        second.decide_waiting()
        second.commit()

    @rule()
    def lose_all(self):
        """All owners are lost with their decided starts and writes in flight."""
        for service in SERVICES:
            waiting = self.site.owners[service].waiting
            self.site.take_over(service).waiting = waiting
        self.former.clear()

    @rule(limit=st.sampled_from((None, *LIMITS)), number=owners, pauses=sometimes)
    def change_limit(self, limit, number, pauses):
        """The limit changes, or the account is removed; one owner applies it first."""
        limits = {} if limit is None else {"north": limit}
        self.site.owners[SERVICES[0]].waiting["north"] = [1] * 40
        for _ in range(2):
            self.run_one(0, True, False, True, True, "stored")
        self.site.configure(**limits, south=16)
        self.cut_off(number, True)
        if not pauses:
            for owner in self.site.owners.values():
                if owner.is_connected:
                    owner.apply_configuration()
        owner = self.owner(number)
        owner.waiting["north"] = [1] * 40
        owner.decide_waiting()
        owner.commit()

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
            if not any(any(o.waiting.values()) for o in self.site.owners.values()):
                break
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
